"""Requests that may crash the endpoints that run them.

Load pattern: one request crashes each endpoint that starts to run it, and
copies of it arrive at any VM. A key identifies what the copies have in
common. Each crash is reported to all VMs, with the keys of all requests that
the endpoint was running, and an answered request clears its keys.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from bronzetrack.core import registry

if TYPE_CHECKING:
    from bronzetrack.entry import requests

ListKeys = TypeVar("ListKeys", bound="Callable[[requests.Request], list[str]]")

# A request is refused after this many endpoints crashed while they ran it.
MAX_CRASHES = 3
# Crashes older than this no longer count.
RETENTION_S = 600.0
# Largest numbers of keys with crashes and with answers that are kept.
MAX_SUSPECTS = 10_000
MAX_ANSWERED = 10_000
FINGERPRINT_BYTES = 12
# An answer that has been in progress for this time has begun well.
STARTING_S = 0.5
# Parts of a prompt that are looked at, and characters of their ids.
MAX_PARTS = 8
MAX_PART_ID_LENGTH = 24
PART_PREFIX = "part:"


def fingerprint_request(request: requests.Request) -> str:
    """Return a fingerprint of a request that its copies share.

    Without a body, requests of all callers to a target are alike, and one may
    differ in a header. Copies then also share their caller.
    """
    digest = hashlib.blake2b(request.target, digest_size=FINGERPRINT_BYTES)
    digest.update(b"\0")
    digest.update(request.body or request.caller.encode())
    return digest.hexdigest()


@attrs.frozen
class KeySource:
    """A way to find out what requests that crash endpoints have in common.

    :param list_keys: returns the keys of a request
    :param crashes_at_start: whether requests that share such a key crash an
        endpoint as it begins to answer, so that one whose answer has been in
        progress for a while is sound
    """

    list_keys: Callable[[requests.Request], Iterable[str]]
    crashes_at_start: bool = False


KEY_SOURCES: registry.Registry[KeySource] = registry.Registry("key sources")


def register_keys(
    name: str, crashes_at_start: bool = False
) -> Callable[[ListKeys], ListKeys]:
    """Return a decorator that registers a function as a source of keys."""

    def decorate(list_keys: ListKeys) -> ListKeys:
        source = KeySource(list_keys, crashes_at_start)
        KEY_SOURCES.register(name)(source)
        return list_keys

    return decorate


@register_keys("request")
def list_fingerprint(request: requests.Request) -> list[str]:
    """Return the key that all copies of one request share."""
    return [fingerprint_request(request)]


@register_keys("prompt part", crashes_at_start=True)
def list_part_keys(request: requests.Request) -> list[str]:
    """Return the keys of the parts that prompts share.

    Load pattern: all prompts with one part crash engines. No two are alike,
    and sound prompts share their other parts.
    """
    return [
        PART_PREFIX + part[:MAX_PART_ID_LENGTH]
        for part in request.shared_parts[:MAX_PARTS]
    ]


def list_keys(request: requests.Request) -> tuple[str, ...]:
    """Return what a request has in common with requests like it."""
    return tuple(
        key
        for _, source in KEY_SOURCES.items()
        for key in source.list_keys(request)
    )


def list_accused_keys(
    request: requests.Request, answering_s: float
) -> tuple[str, ...]:
    """Return the keys that may explain a crash during a request.

    :param answering_s: seconds since the answer began, 0 before
    """
    return tuple(
        key
        for _, source in KEY_SOURCES.items()
        if answering_s < STARTING_S or not source.crashes_at_start
        for key in source.list_keys(request)
    )


@attrs.frozen
class LostRequest:
    """A request whose connection to an endpoint was lost.

    :param endpoint: id of the endpoint
    :param start: id of that start of the endpoint
    :param address: address of the endpoint
    :param keys: keys of the request
    :param at: time of the loss
    """

    endpoint: str
    start: str
    address: str
    keys: tuple[str, ...]
    at: float


@attrs.define(eq=False)
class Answers:
    """Times at which requests with a key were last answered on this VM."""

    at_by_key: dict[str, float] = attrs.field(factory=dict)

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
            self.cleared_at < at <= answered_at for at in self.crashes.values()
        )

    def clear(self, at: float) -> None:
        """Record that a request with the key was answered on any VM."""
        self.cleared_at = max(self.cleared_at, at)

    def list_latest(self) -> list[tuple[str, float]]:
        """Return the latest crashes, as many as refuse a request."""
        by_time = sorted(self.crashes.items(), key=lambda item: item[1])
        return by_time[-MAX_CRASHES:]

    def count(self, answered_at: float, now: float) -> int:
        """Return the number of crashes that count.

        :param answered_at: when this VM last answered such a request
        """
        since = max(self.cleared_at, answered_at, now - RETENTION_S)
        return sum(1 for at in self.crashes.values() if at > since)


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
        evidence.crashes[start] = max(at, evidence.crashes.get(start, at))

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

    def count(self, key: str, answers: Answers, now: float) -> int:
        """Return the number of crashes that count against a key."""
        evidence = self.by_key.get(key)
        return evidence.count(answers.get(key), now) if evidence else 0

    def is_refused(self, key: str, answers: Answers, now: float) -> bool:
        """Return whether requests with a key are refused."""
        return self.count(key, answers, now) >= MAX_CRASHES

    def list_refused(self, answers: Answers, now: float) -> list[str]:
        """Return the keys whose requests are refused."""
        return [
            key for key in self.by_key if self.is_refused(key, answers, now)
        ]

    def prune(self, answers: Answers, now: float) -> None:
        """Discard evidence in which no crash counts any more."""
        for key in list(self.by_key):
            if not self.count(key, answers, now):
                del self.by_key[key]
