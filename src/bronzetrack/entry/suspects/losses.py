"""Lost requests that a crash of their endpoint may explain.

Load pattern: an endpoint crashes and is back before this VM connects to it, or
its address goes on accepting connections, or it crashes after its request was
given up. Another start of the endpoint, which it announces seconds later, is
then the only evidence of the crash.
"""

from __future__ import annotations

import collections
import enum

import attrs

from bronzetrack.entry.suspects import suspects

# An endpoint that crashed announces its next start within about this time.
LOST_TTL_S = 10.0
# A request that was given up longer ago is not blamed for a crash.
GIVEN_UP_TTL_S = 5.0
# Largest number of lost requests that are kept for one start of an endpoint.
MAX_LOSSES = 1_024


class Evidence(enum.Enum):
    """What shows that a start of an endpoint has crashed."""

    REFUSED = "refused"
    RESTARTED = "restarted"
    NONE = "none"


@attrs.frozen
class EndpointStart:
    """A start of an endpoint that this VM has seen for the first time.

    :param start: id of the start
    """

    endpoint: str
    start: str
    address: str


@attrs.define(eq=False)
class LossTable:
    """Lost requests by the endpoint's start, without evidence of a crash."""

    by_start: dict[str, collections.deque[suspects.LostRequest]] = attrs.field(
        factory=dict
    )

    def record(self, lost: suspects.LostRequest) -> None:
        """Keep a lost request until a crash explains it or it expires."""
        losses = self.by_start.setdefault(
            lost.start, collections.deque(maxlen=MAX_LOSSES)
        )
        losses.append(lost)

    def take_crashed(self, start: str) -> list[suspects.LostRequest]:
        """Remove and return the requests that a start has not finished.

        :param start: id of a start that is known to have ended
        """
        return list(self.by_start.pop(start, ()))

    def find_ended(self, seen: EndpointStart) -> list[str]:
        """Return the ids of the starts that a new start shows to have ended.

        These are earlier starts with the same id or at the same address.
        """
        return [
            start
            for start, losses in self.by_start.items()
            if start != seen.start
            and (
                losses[0].endpoint == seen.endpoint
                or losses[0].address == seen.address
            )
        ]

    def expire(self, now: float) -> None:
        """Discard the requests that no later crash explains."""
        for start, losses in list(self.by_start.items()):
            kept = [lost for lost in losses if not _is_expired(lost, now)]
            if kept:
                self.by_start[start] = collections.deque(
                    kept, maxlen=MAX_LOSSES
                )
            else:
                del self.by_start[start]


def _is_expired(lost: suspects.LostRequest, now: float) -> bool:
    ttl_s = GIVEN_UP_TTL_S if lost.given_up else LOST_TTL_S
    return now - lost.at > ttl_s
