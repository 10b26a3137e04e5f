"""Recognition of callers that return after a refusal.

Callers state how long they still wait. Where nearly all callers of a route
state the same time in calm, one that states clearly less has already waited:
it was refused before. Its answer is late in most cases, so that a new request
gains more from the same capacity.
"""

from __future__ import annotations

import attrs

# Time left, as a share of the usual one, below which a caller has returned.
RETURNED_SHARE = 0.9
# Requests by which the usual time is known.
MIN_REQUESTS = 3.0
# Share of the requests in calm that state the usual time.
MIN_USUAL_SHARE = 0.9
# Part by which each request reduces the weight of the earlier ones.
FORGETTING = 0.02


@attrs.define(eq=False)
class CallerTimes:
    """How long the callers of a route wait at their first attempt.

    :param usual_s: longest time stated
    :param requests: weight of the requests in calm
    :param usual: weight of those that stated the usual time
    """

    usual_s: float = 0.0
    requests: float = 0.0
    usual: float = 0.0

    def record(self, left_s: float) -> None:
        """Record the time that a caller stated in calm."""
        if left_s * RETURNED_SHARE > self.usual_s:
            self.requests = self.usual = 0.0
        self.usual_s = max(self.usual_s, left_s)
        self.requests += 1 - FORGETTING * self.requests
        is_usual = left_s >= RETURNED_SHARE * self.usual_s
        self.usual += is_usual - FORGETTING * self.usual

    def has_returned(self, left_s: float) -> bool:
        """Return whether a caller has probably been refused before."""
        if self.requests < MIN_REQUESTS:
            return False
        return (
            self.usual >= MIN_USUAL_SHARE * self.requests
            and left_s < RETURNED_SHARE * self.usual_s
        )
