"""Back-off from engines that reject requests because they are full.

Load pattern: an adapter gets a quarter of all requests, and the one engine
that holds it is full. Sixty VMs send to it, and each repeated send counts
against the retry budget. Once that is spent, a rejected request has to be
refused. Requests that can still be on time and were not sent before therefore
keep the engine full, and the others are sent again rarely.
"""

from __future__ import annotations

import random

import attrs

from bronzetrack.entry.admission import ranking

# Back-off after the first rejection, of requests that were not sent before and
# of the others. It doubles with each further one.
MIN_FIRST_BACKOFF_S = 0.05
MAX_FIRST_BACKOFF_S = 0.4
MIN_REPEAT_BACKOFF_S = 0.2
MAX_DOUBLINGS = 10
# In a large fleet, all VMs together send rejected requests again to a full
# engine at this interval.
FLEET_INTERVAL_S = 0.05
# A back-off is this share of its length at least; the rest is jitter.
FIXED_SHARE = 0.5
# Rejections arrive within this time, so that a send without an answer after
# it has been accepted.
PROBE_S = 0.1
# An engine counts as full for this time after the last sign of it.
KEPT_S = 1.0
# Reports of requests in progress are at most about this old.
REPORT_AGE_S = 0.9
DEFAULT_GENERATOR = random.Random()


@attrs.frozen
class Report:
    """What is reported of an engine.

    :param vms: number of VMs that may be running
    :param is_busy: whether as many requests are in progress as the engine
        runs at a time
    :param has_retry: whether the retry budget allows another send
    """

    vms: int
    is_busy: bool
    has_retry: bool = True


@attrs.define(eq=False)
class Fullness:
    """What this VM knows about an engine that was full.

    :param rejections: rejections, less accepted requests
    :param rejected_at: time of the last rejection
    :param full_at: when there was the last sign that the engine is full
    :param first_at: when a request that was not sent before may be sent
    :param repeat_at: when a request may be sent again
    :param probe_at: start of the last probe, `None` if it has ended
    """

    rejections: int = 0
    rejected_at: float = float("-inf")
    full_at: float = float("-inf")
    first_at: float = float("-inf")
    repeat_at: float = float("-inf")
    probe_at: float | None = None

    def is_full(self, now: float, report: Report, is_awaited: bool) -> bool:
        """Return whether requests are sent one at a time, if at all.

        :param is_awaited: whether several requests of this VM wait for it
        """
        if is_awaited or (report.is_busy and self.rejections):
            return True
        return now < self.full_at + KEPT_S

    def may_send(
        self, claim: ranking.Claim, now: float, report: Report
    ) -> bool:
        """Return whether a request may be sent if it is the next one.

        Load pattern: an engine is full for seconds, and most of the requests
        that wait are late. As long as others can be on time, a late one would
        take a slot from one of them.
        """
        if claim.is_late(now) and report.is_busy:
            return False
        return now >= self.find_next_send(claim, now, report)

    def find_next_send(
        self, claim: ranking.Claim, now: float, report: Report
    ) -> float:
        """Return when a request may be sent.

        A request that may be sent only once is sent like one that was
        rejected.
        """
        is_fresh = (
            claim.is_first and report.has_retry and not claim.is_late(now)
        )
        next_at = self.first_at if is_fresh else self.repeat_at
        if self.probe_at is None:
            return next_at
        return max(next_at, self.probe_at + PROBE_S)

    def start_probe(self, now: float) -> None:
        """Record that the one request that may be sent was chosen."""
        self.probe_at = now

    def record_rejection(
        self,
        sent_at: float,
        now: float,
        report: Report,
        generator: random.Random = DEFAULT_GENERATOR,
    ) -> None:
        """Begin a back-off, longer than the last one.

        Load pattern: several requests were on their way to the engine when it
        became full. Their rejections are one piece of news, not several.

        :param sent_at: when the rejected request was sent
        """
        if sent_at < self.rejected_at:
            return
        self.rejections += 1
        self.rejected_at = self.full_at = now
        self.probe_at = None
        share = FIXED_SHARE + (1 - FIXED_SHARE) * generator.random()
        factor = 2 ** min(MAX_DOUBLINGS, self.rejections - 1)
        self.first_at = now + share * min(
            MAX_FIRST_BACKOFF_S, MIN_FIRST_BACKOFF_S * factor
        )
        self.repeat_at = now + share * min(
            max(MAX_FIRST_BACKOFF_S, FLEET_INTERVAL_S * report.vms),
            MIN_REPEAT_BACKOFF_S * factor,
        )

    def record_acceptance(
        self, sent_at: float, now: float, report: Report
    ) -> bool:
        """End the back-off if the engine has room.

        Load pattern: an engine that is full takes a request whenever one
        ends. If each accepted request ended the back-off, each would be
        followed by one that is rejected.

        :param sent_at: when the accepted request was sent
        :returns: whether the back-off has ended
        """
        if sent_at < self.rejected_at:
            return False
        self.probe_at = None
        if not report.is_busy and now - self.rejected_at > REPORT_AGE_S:
            self.rejections = 0
            self.first_at = self.repeat_at = float("-inf")
            return True
        self.rejections = max(0, self.rejections - 1)
        self.full_at = now
        return False

    def record_end(self, now: float) -> None:
        """Allow a send, as a request of this VM has left the engine.

        Load pattern: an engine stays full for seconds. A request that follows
        one which has ended is rarely rejected.
        """
        self.first_at = min(self.first_at, now)
        self.repeat_at = min(self.repeat_at, now)
