"""Waiting requests in the order in which they go on.

Load pattern: a thousand requests wait for the same full engines. Each of them
looks for an engine again and again, so that a look must not go through all
others.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
import itertools
from typing import Generic
from typing import TypeVar

import attrs

from bronzetrack.entry.admission import ranking

W = TypeVar("W")


@attrs.frozen
class Kind:
    """What is the same for all requests of a group.

    Those that are late come first in it, then the urgent ones, then background
    work, whatever time it is.
    """

    is_first: bool
    has_begun: bool
    priority: int
    target_s: float


@attrs.frozen(eq=False)
class Entry(Generic[W]):
    """A waiting request and its place.

    :param number: distinguishes requests with the same latest start
    """

    claim: ranking.Claim
    waiter: W
    number: int

    @property
    def rank(self) -> tuple[float, int]:
        """Sort key within a group, the lowest goes first."""
        return self.claim.latest_start, self.number


@attrs.define(eq=False)
class WaitingQueue(Generic[W]):
    """Requests that wait for the same engines.

    :param entries: the requests by their claims
    """

    entries: dict[ranking.Claim, Entry[W]] = attrs.field(factory=dict)
    _groups: dict[Kind, list[Entry[W]]] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, claim: ranking.Claim, waiter: W) -> None:
        """Add a request."""
        entry = Entry(claim, waiter, next(self._numbers))
        self.entries[claim] = entry
        group = self._groups.setdefault(_find_kind(claim), [])
        bisect.insort(group, entry, key=_get_rank)

    def remove(self, claim: ranking.Claim) -> None:
        """Remove a request."""
        entry = self.entries.pop(claim)
        kind = _find_kind(claim)
        group = self._groups[kind]
        del group[bisect.bisect_left(group, entry.rank, key=_get_rank)]
        if not group:
            del self._groups[kind]

    def list_first(self, now: float) -> list[Entry[W]]:
        """Return the first late, urgent and background request of each kind.

        One of them is the next, whichever of them may be sent.
        """
        return list(
            itertools.chain.from_iterable(
                _iterate_first(group, now) for group in self._groups.values()
            )
        )


def _find_kind(claim: ranking.Claim) -> Kind:
    return Kind(
        claim.is_first, claim.has_begun, claim.priority, claim.target_s
    )


def _get_rank(entry: Entry[W]) -> tuple[float, int]:
    return entry.rank


def _iterate_first(group: list[Entry[W]], now: float) -> Iterator[Entry[W]]:
    urgent = bisect.bisect_left(
        group, True, key=lambda item: not item.claim.is_late(now)
    )
    background = bisect.bisect_left(
        group, True, key=lambda item: item.claim.yields(now)
    )
    edges = (0, urgent, background, len(group))
    return (
        group[start] for start, end in itertools.pairwise(edges) if start < end
    )
