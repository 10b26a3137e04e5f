"""Token bucket that limits loads from the weight store, and quotas."""

from __future__ import annotations

import attrs


@attrs.frozen
class TokenBucket:
    """A token bucket with one token per load or unit of a quota.

    :param tokens: tokens that may be used now, negative for a debt
    :param updated_ms: monotonic time of the last refill
    """

    tokens: float = 0.0
    updated_ms: int = 0

    def refill(
        self, rate_per_s: float, capacity: float, now_ms: int
    ) -> TokenBucket:
        """Return the bucket refilled for the time since the last refill.

        Tokens above the capacity, which peers have granted, are kept.
        """
        gained = rate_per_s * max(0, now_ms - self.updated_ms) / 1000
        filled = max(self.tokens, min(capacity, self.tokens + gained))
        return TokenBucket(filled, max(now_ms, self.updated_ms))

    def limit(self, capacity: float) -> TokenBucket:
        """Return the bucket without the tokens above a capacity."""
        return attrs.evolve(self, tokens=min(self.tokens, capacity))

    def take(self, count: float) -> TokenBucket:
        """Return the bucket with some tokens removed."""
        return attrs.evolve(self, tokens=self.tokens - count)

    def add(self, count: float) -> TokenBucket:
        """Return the bucket with tokens from a peer added."""
        return attrs.evolve(self, tokens=self.tokens + count)


def to_ms(now: float) -> int:
    """Return a time in seconds in milliseconds, as buckets take it."""
    return int(1000 * now)
