"""Requests and failures of this VM at each endpoint."""

from __future__ import annotations

import attrs

# Half-life of the effect of a failure.
FAILURE_HALF_LIFE_S = 3.0
# Factor by which a good answer reduces the effect of earlier failures.
SUCCESS_DECAY_FACTOR = 0.7
# Failures whose effect has decayed below this value are negligible.
NEGLIGIBLE_FAILURES = 0.5
# An endpoint that accepted no connection gets no new one for this time.
UNREACHABLE_BACKOFF_S = 0.5


@attrs.define(eq=False)
class Traffic:
    """Requests of this VM at one endpoint.

    :param active: number of requests in progress
    :param uses: number of requests in progress by model and adapter
    :param failures: decayed number of recent failures at the time `failed_at`
    :param unreachable_until: until when the endpoint gets no new connection
    :param paused_until: until when the endpoint wants no request of this VM
    :param paused_start: id of the endpoint's start that said so
    :param rejected_at: when the endpoint last rejected a request as it was
        full
    """

    active: int = 0
    uses: dict[tuple[str, str], int] = attrs.field(factory=dict)
    failures: float = 0.0
    failed_at: float = 0.0
    unreachable_until: float = 0.0
    paused_until: float = 0.0
    paused_start: str = ""
    rejected_at: float = float("-inf")

    def start(self, model_key: tuple[str, str] | None) -> None:
        """Count a request that is being sent."""
        self.active += 1
        if model_key is not None:
            self.uses[model_key] = self.uses.get(model_key, 0) + 1

    def end(self, model_key: tuple[str, str] | None) -> None:
        """Remove a request that has ended from the count."""
        self.active -= 1
        if model_key is None:
            return
        left = self.uses.get(model_key, 0) - 1
        if left > 0:
            self.uses[model_key] = left
        else:
            self.uses.pop(model_key, None)

    def measure_failures(self, now: float) -> float:
        """Return the decayed number of recent failures."""
        if not self.failures:
            return 0.0
        age = max(0.0, now - self.failed_at)
        return self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def record_failure(self, now: float) -> bool:
        """Count a failure that the endpoint caused.

        :returns: whether earlier failures are negligible, so that this one is
            the first of a series
        """
        earlier = self.measure_failures(now)
        self.failures = earlier + 1.0
        self.failed_at = now
        return earlier < NEGLIGIBLE_FAILURES

    def record_unreachable(self, now: float) -> bool:
        """Count a connection that could not be opened as a failure.

        :returns: whether earlier failures are negligible
        """
        self.unreachable_until = now + UNREACHABLE_BACKOFF_S
        return self.record_failure(now)

    def record_pause(self, start: str, until: float) -> None:
        """Record that a start of the endpoint wants no requests."""
        if start != self.paused_start:
            self.paused_until = 0.0
        self.paused_start = start
        self.paused_until = max(until, self.paused_until)

    def get_pause_end(self, start: str) -> float:
        """Return until when a start of the endpoint wants no requests."""
        return self.paused_until if start == self.paused_start else 0.0

    def record_success(self, now: float) -> None:
        """Reduce the effect of earlier failures after a good answer."""
        self.failures = self.measure_failures(now) * SUCCESS_DECAY_FACTOR
        self.failed_at = now


@attrs.define(eq=False)
class TrafficTable:
    """Traffic of this VM by endpoint id."""

    by_identity: dict[str, Traffic] = attrs.field(factory=dict)

    def get_or_create(self, identity: str) -> Traffic:
        """Return the traffic of an endpoint, creating it if needed."""
        traffic = self.by_identity.get(identity)
        if traffic is None:
            traffic = self.by_identity[identity] = Traffic()
        return traffic

    def discard_unlisted(self, identities: set[str]) -> None:
        """Discard idle endpoints whose ids are not listed."""
        for identity in set(self.by_identity) - identities:
            if not self.by_identity[identity].active:
                del self.by_identity[identity]
