"""Order of the requests of this VM that wait for the same engine.

Load pattern: live requests, short background work and long prompts want an
engine that has room for a part of them only. Which of them goes first decides
how many are still answered on time.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools
import math

import attrs

# Requests with a longer time to be on time are background work.
BACKGROUND_TARGET_S = 1.5
# Background work counts like other requests once only this share of its time
# is left.
BACKGROUND_URGENT_SHARE = 0.25
# Of so many requests that are taken, one is that which has waited longest.
FAIR_TURN = 8
# Priority of requests that take only capacity that is left.
LEAST_URGENT = 9
# The likely time to the answer counts as at most this share of the time to be
# on time, as it is an estimate.
MAX_LIKELY_SHARE = 0.5


@attrs.frozen(eq=False)
class Claim:
    """What decides when a waiting request goes on.

    :param target_s: time from the arrival within which an answer is on time
    :param likely_s: likely time from the send to the answer
    :param priority: priority of the request, 0 is the most urgent
    :param is_first: whether the request was not sent before
    :param has_begun: whether the caller already has a part of the answer
    """

    arrived_at: float
    target_s: float
    likely_s: float
    priority: int
    is_first: bool = True
    has_begun: bool = False

    @functools.cached_property
    def latest_start(self) -> float:
        """Latest time of a send with which the request is on time."""
        likely_s = min(self.likely_s, MAX_LIKELY_SHARE * self.target_s)
        return self.arrived_at + self.target_s - likely_s

    @property
    def urgent_at(self) -> float:
        """When background work begins to count like other requests."""
        return self.latest_start - BACKGROUND_URGENT_SHARE * self.target_s

    def find_phase_end(self, now: float) -> float:
        """Return when its rank among others changes next, if ever."""
        if self.yields(now):
            return self.urgent_at
        return math.inf if self.is_late(now) else self.latest_start

    def measure_slack(self, now: float) -> float:
        """Return how long the request may wait and still be on time."""
        return self.latest_start - now

    def is_late(self, now: float) -> bool:
        """Return whether the request can no longer be on time."""
        return not self.has_begun and self.measure_slack(now) < 0

    def yields(self, now: float) -> bool:
        """Return whether the request is background work with time left."""
        return self.target_s > BACKGROUND_TARGET_S and now < self.urgent_at


def rank(claim: Claim, now: float) -> tuple[bool, bool, bool, int, float]:
    """Return the sort key of a waiting request, the lowest goes first.

    Load pattern: an engine stays full for seconds, so that some requests that
    wait are late. Each slot that a late one takes makes another one late.
    """
    return (
        not claim.has_begun,
        claim.is_late(now),
        claim.yields(now),
        claim.priority,
        claim.measure_slack(now),
    )


def choose_next(
    claims: Iterable[Claim], turn: int, now: float
) -> Claim | None:
    """Return which of the waiting requests goes on next.

    Load pattern: urgent requests alone exceed the capacity for as long as the
    load lasts. Without a turn of their own, the others would starve.

    :param turn: number of requests that were taken so far
    """
    if turn % FAIR_TURN == FAIR_TURN - 1:
        return min(claims, key=lambda claim: claim.arrived_at, default=None)
    return min(claims, key=lambda claim: rank(claim, now), default=None)


def choose_priority(claim: Claim, now: float) -> int:
    """Return the priority that an engine is told.

    Load pattern: engines admit urgent requests first and preempt others for
    them. A late one must not take the place of one that can be on time.
    """
    return LEAST_URGENT if claim.is_late(now) else claim.priority
