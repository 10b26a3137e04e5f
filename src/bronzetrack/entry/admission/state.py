"""Requests that wait for full engines, a section of the blackboard."""

from __future__ import annotations

from collections.abc import Iterator
import copy
import itertools

import attrs

from bronzetrack.entry import notifiers
from bronzetrack.entry.admission import fullness
from bronzetrack.entry.admission import memory
from bronzetrack.entry.admission import queues
from bronzetrack.entry.admission import ranking
from bronzetrack.entry.costs import means

# Services that are remembered.
MAX_SERVICES = 32


@attrs.define(eq=False)
class Waiter:
    """A request of this VM that wants an engine.

    :param identities: ids of the engines that could run it
    :param notifier: wakes the request
    :param blocked_at: when all these engines were first found full, `None`
        before
    :param is_blocked: whether all these engines were full when last checked
    :param retry_at: when the request may be sent to one of them
    :param is_watching: whether it looks for an engine at that time, as one of
        the first that wait
    """

    claim: ranking.Claim
    identities: frozenset[str] = frozenset()
    notifier: notifiers.Notifier = attrs.field(factory=notifiers.Notifier)
    is_blocked: bool = False
    blocked_at: float | None = None
    retry_at: float = 0.0
    is_watching: bool = False


@attrs.define(eq=False)
class AdmissionState:
    """What this VM knows of full engines, and its requests that wait.

    :param full: engines that rejected requests, by id
    :param waiters: requests that want an engine; each has a connection of a
        caller, whose number is bounded
    :param by_engines: the same requests, by the engines that could run them
    :param turn: number of requests that were taken for a probe
    :param held: own requests in progress by engine
    :param mean_tokens: tokens that a request may need, by service
    """

    full: dict[str, fullness.Fullness] = attrs.field(factory=dict)
    waiters: dict[ranking.Claim, Waiter] = attrs.field(factory=dict)
    by_engines: dict[frozenset[str], queues.WaitingQueue[Waiter]] = (
        attrs.field(factory=dict)
    )
    turn: int = 0
    held: dict[str, memory.Held] = attrs.field(factory=dict)
    mean_tokens: means.MeanTable[str] = attrs.field(
        factory=lambda: means.MeanTable(MAX_SERVICES)
    )

    def copy(self) -> AdmissionState:
        """Return a state in which decisions change nothing of this one."""
        found = attrs.evolve(
            self,
            full={name: copy.copy(item) for name, item in self.full.items()},
            waiters={},
            by_engines={},
        )
        for waiter in self.waiters.values():
            copied = attrs.evolve(waiter, notifier=notifiers.Notifier())
            found.place(copied, waiter.identities)
        return found

    def get_held(self, identity: str) -> memory.Held:
        """Return the own requests that an engine has in progress."""
        return self.held.get(identity) or memory.Held()

    def place(self, waiter: Waiter, identities: frozenset[str]) -> None:
        """Let a request wait for some engines in place of those before."""
        claim = waiter.claim
        if waiter.identities == identities and claim in self.waiters:
            return
        self.remove(waiter)
        waiter.identities = identities
        self.waiters[claim] = waiter
        queue = self.by_engines.setdefault(identities, queues.WaitingQueue())
        queue.add(claim, waiter)

    def remove(self, waiter: Waiter) -> None:
        """Let a request wait no longer."""
        if self.waiters.pop(waiter.claim, None) is None:
            return
        queue = self.by_engines[waiter.identities]
        queue.remove(waiter.claim)
        if not queue:
            del self.by_engines[waiter.identities]

    def wake_first(self, identities: frozenset[str], now: float) -> None:
        """Wake the first requests that do not know that they are.

        They sleep until an engine may take them, and wake those that are the
        first after them.
        """
        queue = self.by_engines.get(identities)
        first = queue.list_first(now) if queue is not None else ()
        for entry in first:
            if not entry.waiter.is_watching:
                entry.waiter.is_watching = True
                entry.waiter.notifier.change()

    def is_first(self, waiter: Waiter, now: float) -> bool:
        """Return whether a request is one of the first that wait."""
        queue = self.by_engines[waiter.identities]
        return any(entry.waiter is waiter for entry in queue.list_first(now))

    def count_waiters(self, identity: str) -> int:
        """Return the number of requests that an engine could run."""
        return sum(map(len, self._list_queues(identity)))

    def _list_queues(
        self, identity: str
    ) -> Iterator[queues.WaitingQueue[Waiter]]:
        return (
            queue
            for identities, queue in self.by_engines.items()
            if identity in identities
        )

    def find_next(
        self, identity: str, now: float, report: fullness.Report
    ) -> Waiter | None:
        """Return the request that is sent to a full engine now, if any."""
        full = self.full[identity]
        first = itertools.chain.from_iterable(
            queue.list_first(now) for queue in self._list_queues(identity)
        )
        claims = (
            entry.claim
            for entry in first
            if full.may_send(entry.claim, now, report)
        )
        found = ranking.choose_next(claims, self.turn, now)
        return None if found is None else self.waiters[found]

    def discard_unlisted(self, identities: set[str]) -> None:
        """Discard what is known of endpoints whose ids are not listed."""
        for identity in set(self.full) - identities:
            del self.full[identity]
        for identity in set(self.held) - identities:
            if not self.held[identity].count:
                del self.held[identity]
