"""What this VM has in progress at each endpoint, and how it fared there."""

from __future__ import annotations

import attrs

# The effect of a failure halves with this time.
FAILURE_FADE_S = 3.0
# What a success leaves of the failures before it.
SUCCESS_FACTOR = 0.7
# Failures that have faded below this count as forgotten.
FORGOTTEN_FAILURES = 0.5
# An endpoint that took no connection gets none for this time.
UNREACHABLE_S = 0.5


@attrs.define(eq=False)
class Traffic:
    """Requests of this VM at one endpoint.

    :param active: requests in progress
    :param uses: requests in progress by model and adapter
    :param failures: failures seen lately, as of `failed_at`
    """

    active: int = 0
    uses: dict[tuple[str, str], int] = attrs.field(factory=dict)
    failures: float = 0.0
    failed_at: float = 0.0
    unreachable_until: float = 0.0

    def start(self, need: tuple[str, str] | None) -> None:
        """Count a request that is sent."""
        self.active += 1
        if need is not None:
            self.uses[need] = self.uses.get(need, 0) + 1

    def end(self, need: tuple[str, str] | None) -> None:
        """Count a request that ended."""
        self.active -= 1
        if need is None:
            return
        left = self.uses.get(need, 0) - 1
        if left > 0:
            self.uses[need] = left
        else:
            self.uses.pop(need, None)

    def measure_failures(self, now: float) -> float:
        """Return the failures seen lately, faded with time."""
        if not self.failures:
            return 0.0
        age = max(0.0, now - self.failed_at)
        return self.failures * 0.5 ** (age / FAILURE_FADE_S)

    def note_failure(self, now: float) -> bool:
        """Count a failure that the endpoint caused.

        :returns: whether earlier ones are forgotten
        """
        earlier = self.measure_failures(now)
        self.failures = earlier + 1.0
        self.failed_at = now
        return earlier < FORGOTTEN_FAILURES

    def note_unreachable(self, now: float) -> bool:
        """Count a connection that could not be opened.

        :returns: whether earlier failures are forgotten
        """
        self.unreachable_until = now + UNREACHABLE_S
        return self.note_failure(now)

    def note_answer(self, now: float) -> None:
        """Count a good answer."""
        self.failures = self.measure_failures(now) * SUCCESS_FACTOR
        self.failed_at = now


@attrs.define(eq=False)
class TrafficTable:
    """Traffic by endpoint."""

    by_identity: dict[str, Traffic] = attrs.field(factory=dict)

    def find(self, identity: str) -> Traffic:
        """Return the traffic of an endpoint, new if there was none."""
        traffic = self.by_identity.get(identity)
        if traffic is None:
            traffic = self.by_identity[identity] = Traffic()
        return traffic

    def retain(self, identities: set[str]) -> None:
        """Forget idle endpoints that are not listed."""
        for identity in set(self.by_identity) - identities:
            if not self.by_identity[identity].active:
                del self.by_identity[identity]
