"""Requests that may crash the endpoints that run them.

Load pattern: one request crashes each endpoint that starts to run it, and
copies of it arrive at any VM. A key (`suspectkeys`) identifies what the copies
have in common. Each crash is reported to all VMs, with the keys of all
requests that the endpoint was running, and an answered request clears its
keys.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from bronzetrack.core import rendezvous
from bronzetrack.entry.suspects import suspectkeys

if TYPE_CHECKING:
    from bronzetrack.entry.forwarding import requests


# A request is refused after this many endpoints crashed while they ran it.
MAX_CRASHES = 3
# Keys with this many crashes are stored, so that a VM that starts later counts
# on. After one crash, most keys belong to sound requests.
STORED_CRASHES = 2
# Crashes are told again to other VMs for this time, so that VMs that were cut
# off meanwhile add them up.
RETOLD_S = 60.0
# Crashes older than this no longer count.
RETENTION_S = 600.0
# Reports of crashes of one start within this time are about the same crash.
SAME_CRASH_S = 5.0
# Largest numbers of keys with crashes and with answers that are kept.
MAX_SUSPECTS = 10_000
MAX_ANSWERED = 10_000
# An answer also clears the crashes that follow within this time. Where a sound
# request is refused, its answers end with the crashes of another one.
ANSWER_GRACE_S = 2.0
# A trial follows the last crash after this time, and a trial that ended
# without a crash or an answer is repeated after this time.
TRIAL_PAUSE_S = 1.0
# No trial is made after this many crashes.
MAX_TRIAL_CRASHES = 6


@attrs.frozen
class LostRequest:
    """A request that an endpoint did not finish.

    :param endpoint: id of the endpoint
    :param start: id of that start of the endpoint
    :param address: address of the endpoint
    :param keys: keys of the request
    :param at: when the connection was lost or the request was given up
    :param given_up: whether this VM gave the request up, as its caller left
        or its time was over. The endpoint may still be running it.
    """

    endpoint: str
    start: str
    address: str
    keys: tuple[str, ...]
    at: float
    given_up: bool = False


@attrs.define(eq=False)
class Answers:
    """Times at which requests with a key were last answered on this VM.

    :param tried_by_key: time of the last trial with a key
    """

    at_by_key: dict[str, float] = attrs.field(factory=dict)
    tried_by_key: dict[str, float] = attrs.field(factory=dict)

    def record(self, keys: Iterable[str], at: float) -> None:
        """Record that an endpoint answered a request and did not crash.

        :param at: time at which the answer began
        """
        for key in keys:
            latest = max(at, self.at_by_key.pop(key, at))
            self.at_by_key[key] = latest
        while len(self.at_by_key) > MAX_ANSWERED:
            self.at_by_key.pop(next(iter(self.at_by_key)))

    def get(self, key: str) -> float:
        """Return when a key was last answered, or minus infinity."""
        return self.at_by_key.get(key, float("-inf"))

    def record_trial(self, keys: Iterable[str], now: float) -> None:
        """Record that a request with refused keys is sent."""
        self.tried_by_key |= dict.fromkeys(keys, now)
        while len(self.tried_by_key) > MAX_ANSWERED:
            self.tried_by_key.pop(next(iter(self.tried_by_key)))

    def get_trial(self, key: str) -> float:
        """Return when a key was last tried, or minus infinity."""
        return self.tried_by_key.get(key, float("-inf"))


@attrs.define(eq=False)
class Evidence:
    """Crashes of endpoints that were running requests with one key.

    :param crashes: time of the crash by the id of the endpoint's start
    :param cleared_at: latest time at which such a request was answered on
        any VM; earlier crashes had another cause
    :param is_own: whether this VM confirmed one of the crashes
    """

    crashes: dict[str, float] = attrs.field(factory=dict)
    cleared_at: float = float("-inf")
    is_own: bool = False

    def is_newly_answered(self, answered_at: float) -> bool:
        """Return whether an answer on this VM clears further crashes."""
        return any(
            self.cleared_at < at - ANSWER_GRACE_S <= answered_at
            for at in self.crashes.values()
        )

    def may_try(self, tried_at: float, now: float) -> bool:
        """Return whether one more request may show whether the key is sound.

        A crash after a trial ends the trials.

        :param tried_at: when this VM last tried the key, or minus infinity
        """
        latest = max(self.crashes.values())
        return (
            len(self.crashes) < MAX_TRIAL_CRASHES
            and not float("-inf") < tried_at < latest
            and now - max(latest, tried_at) >= TRIAL_PAUSE_S
        )

    def clear(self, at: float) -> None:
        """Record that a request with the key was answered on any VM."""
        self.cleared_at = max(self.cleared_at, at)

    def list_latest(self) -> list[tuple[str, float]]:
        """Return the latest crashes, as many as refuse a request."""
        by_time = sorted(self.crashes.items(), key=lambda item: item[1])
        return by_time[-MAX_CRASHES:]

    def list_counting(self, answered_at: float, now: float) -> set[str]:
        """Return the ids of the endpoint starts whose crashes count.

        :param answered_at: when this VM last answered such a request
        """
        cleared_until = max(self.cleared_at, answered_at) + ANSWER_GRACE_S
        since = max(cleared_until, now - RETENTION_S)
        return {start for start, at in self.crashes.items() if at > since}


@attrs.define(eq=False)
class Suspects:
    """Evidence against requests by key."""

    by_key: dict[str, Evidence] = attrs.field(factory=dict)

    def record_crash(self, key: str, start: str, at: float) -> None:
        """Count a crash of an endpoint that was running a request.

        :param start: id of the endpoint's start that ended
        """
        if key not in self.by_key and len(self.by_key) >= MAX_SUSPECTS:
            self._evict()
        evidence = self.by_key.setdefault(key, Evidence())
        known_at = evidence.crashes.get(start, at)
        # A later report of the same crash seems to be a little later.
        if at < known_at or at > known_at + SAME_CRASH_S:
            known_at = at
        evidence.crashes[start] = known_at

    def _evict(self) -> None:
        """Discard the oldest key with too few crashes, else the oldest."""
        oldest = next(iter(self.by_key))
        evicted = next(
            (
                key
                for key, evidence in self.by_key.items()
                if len(evidence.crashes) < MAX_CRASHES
            ),
            oldest,
        )
        del self.by_key[evicted]

    def list_counting(
        self, key: str, answers: Answers, now: float
    ) -> set[str]:
        """Return the ids of the starts whose crashes count against a key."""
        evidence = self.by_key.get(key)
        if evidence is None:
            return set()
        return evidence.list_counting(answers.get(key), now)

    def count(self, key: str, answers: Answers, now: float) -> int:
        """Return the number of crashes that count against a key."""
        return len(self.list_counting(key, answers, now))

    def is_refused(self, key: str, answers: Answers, now: float) -> bool:
        """Return whether requests with a key are refused."""
        return self.count(key, answers, now) >= MAX_CRASHES

    def list_retold(self, answers: Answers, now: float) -> list[str]:
        """Return the keys to tell other VMs of, most crashes first.

        Those that are refused are always told, the others after a crash of
        late.
        """
        counts = {
            key: self.count(key, answers, now)
            for key, evidence in self.by_key.items()
            if self.is_refused(key, answers, now)
            or now - max(evidence.crashes.values()) < RETOLD_S
        }
        retold = [key for key, count in counts.items() if count]
        return sorted(retold, key=lambda key: -counts[key])

    def prune(self, answers: Answers, now: float) -> None:
        """Discard evidence in which no crash counts any more."""
        for key in list(self.by_key):
            if not self.count(key, answers, now):
                del self.by_key[key]


@attrs.frozen
class Electorate:
    """The VMs of which one makes the trials of a key.

    :param own: this VM
    :param others: the other VMs that are alive
    """

    own: str
    others: list[str]

    def makes_trials(self, key: str) -> bool:
        """Return whether this VM makes the trials of a key."""
        vms = sorted([self.own, *self.others])
        return rendezvous.rank_nodes(key, vms)[0] == self.own


@attrs.frozen
class Admission:
    """Whether a request that may crash endpoints is sent.

    :param keys: refused keys of the request
    :param is_trial: whether the request is sent in spite of them, to find out
        whether they are sound
    """

    keys: list[str] = attrs.field(factory=list)
    is_trial: bool = False

    @property
    def is_refused(self) -> bool:
        """Whether the request must not be sent."""
        return bool(self.keys) and not self.is_trial


ADMITTED = Admission()


def decide_admission(
    request: requests.Request,
    table: Suspects,
    answers: Answers,
    electorate: Electorate,
    now: float,
) -> Admission:
    """Return whether a request is sent, refused, or sent as a trial.

    Load pattern: engines crash before any prompt with a common part was
    answered. The part is refused as well, and then no answer could clear it.
    So one VM sends a prompt with the part from time to time. The same holds
    for the target of requests without a body.
    """
    keys = [
        key
        for key in request.suspect_keys
        if table.is_refused(key, answers, now)
    ]
    if not keys:
        return ADMITTED
    is_trial = electorate.makes_trials(min(keys)) and all(
        suspectkeys.is_shared(key)
        and table.by_key[key].may_try(answers.get_trial(key), now)
        for key in keys
    )
    return Admission(keys, is_trial)
