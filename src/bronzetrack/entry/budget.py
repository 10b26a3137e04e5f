"""Budget of sends beyond the first, per service.

All VMs together may repeat a share of the requests of a window plus a fixed
slack. Each VM spends only its part: the share of its own requests, and an
equal part of the slack. No call is needed to spend it, and VMs that cannot
see each other still stay within the sum.
"""

from __future__ import annotations

import collections

import attrs

# Part of the slack that is spent at all. A VM that restarts forgets what it
# spent, and VMs that were cut off may count too few others.
SLACK_SHARE = 0.5


@attrs.define(eq=False)
class RetryBudget:
    """Requests and repeats of one service in a sliding window.

    :param ratio: repeats allowed for each request
    :param slack: repeats allowed besides, over all VMs
    :param window_s: length of the window
    """

    ratio: float
    slack: float
    window_s: float
    requests: collections.deque[float] = attrs.field(factory=collections.deque)
    repeats: collections.deque[float] = attrs.field(factory=collections.deque)

    def note_request(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._expire(now)
        self.requests.append(now)

    def spend(self, now: float, vms: int) -> bool:
        """Take one repeat from the budget, if there is one left.

        :param vms: VMs that share the slack
        """
        self._expire(now)
        if len(self.repeats) + 1 > self.measure_limit(vms):
            return False
        self.repeats.append(now)
        return True

    def measure_limit(self, vms: int) -> float:
        """Return the repeats allowed within the window."""
        part = self.slack * SLACK_SHARE / max(1, vms)
        return self.ratio * len(self.requests) + part

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()
