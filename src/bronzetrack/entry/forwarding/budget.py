"""Retry budget of a service.

All VMs together may retry a fixed ratio of the requests in a sliding window
plus a fixed slack. Each VM spends only its own part: the ratio of its own
requests and an equal part of the slack. Spending needs no call to another VM,
and VMs that are partitioned from each other together stay within the budget.

A process does not know what an earlier one on its VM has spent. Its part of
the slack therefore grows to the whole within one window.
"""

from __future__ import annotations

import collections

import attrs

# Share of the slack that is spent at all. The rest is a reserve, because a
# partitioned VM may count too few other VMs.
USABLE_SLACK_SHARE = 0.5
# Share of its part of the slack that a process may spend at its start.
INITIAL_SHARE = 0.25


@attrs.define(eq=False)
class RetryBudget:
    """Requests and retries of one service in a sliding window.

    :param ratio: retries allowed for each request
    :param slack: additional retries allowed, over all VMs
    :param window_s: length of the window in seconds
    :param started_at: when this process started
    :param requests: times of the requests within the window
    :param retries: times of the retries within the window
    """

    ratio: float
    slack: float
    window_s: float
    started_at: float
    requests: collections.deque[float] = attrs.field(factory=collections.deque)
    retries: collections.deque[float] = attrs.field(factory=collections.deque)

    def record_request(self, now: float) -> None:
        """Count a request that arrived from a caller."""
        self._expire(now)
        self.requests.append(now)

    def take_retry(self, now: float, vms: int) -> bool:
        """Take one retry from the budget if one is left.

        :param vms: number of VMs that share the slack
        :returns: whether the retry may be sent
        """
        if not self.has_retry(now, vms):
            return False
        self.retries.append(now)
        return True

    def has_retry(self, now: float, vms: int) -> bool:
        """Return whether a retry is left.

        :param vms: number of VMs that share the slack
        """
        self._expire(now)
        return len(self.retries) + 1 <= self.measure_limit(vms, now)

    def measure_limit(self, vms: int, now: float) -> float:
        """Return how many retries this VM may send within the window.

        :param vms: number of VMs that share the slack
        """
        part = self.slack * USABLE_SLACK_SHARE / max(1, vms)
        age = min(1.0, max(0.0, now - self.started_at) / self.window_s)
        share = INITIAL_SHARE + (1 - INITIAL_SHARE) * age
        return self.ratio * len(self.requests) + part * share

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()
