"""Decayed means of what was observed, with their uncertainty."""

from __future__ import annotations

from collections.abc import Hashable
import math
from typing import Generic
from typing import TypeVar

import attrs

K = TypeVar("K", bound=Hashable)

# Half-life of a sample. A VM of a large fleet sees an endpoint about once in
# five seconds, so that about a dozen samples count.
HALF_LIFE_S = 60.0
# Samples that the prior value counts as.
PRIOR_WEIGHT = 4.0


@attrs.define(eq=False)
class DecayedMean:
    """Mean and variance of samples whose weight decays with time.

    :param weight: decayed weight of all samples at the time `updated_at`
    :param updated_at: time of the last sample, in seconds
    """

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0
    updated_at: float = 0.0

    def add(self, sample: float, now: float, weight: float = 1.0) -> None:
        """Add a sample, unless it is no finite number."""
        if not math.isfinite(sample):
            return
        previous = self._decay_weight(now)
        self.weight = previous + weight
        share = weight / self.weight
        delta = sample - self.mean
        self.mean += share * delta
        self.variance = (1 - share) * (self.variance + share * delta * delta)
        self.updated_at = max(now, self.updated_at)

    def estimate(self, prior: float, now: float) -> float:
        """Return the mean, drawn towards a prior value if it has few samples.

        :param prior: value that is assumed without any sample
        """
        weight = self._decay_weight(now)
        return (PRIOR_WEIGHT * prior + weight * self.mean) / (
            PRIOR_WEIGHT + weight
        )

    def measure_error(self, deviation: float, now: float) -> float:
        """Return the standard error of the estimate.

        :param deviation: standard deviation that is assumed without samples
        """
        weight = self._decay_weight(now)
        total = PRIOR_WEIGHT + weight
        variance = (
            PRIOR_WEIGHT * deviation * deviation + weight * self.variance
        ) / total
        return math.sqrt(variance / total)

    def _decay_weight(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.weight * 0.5 ** (age_s / HALF_LIFE_S)


@attrs.define(eq=False)
class MeanTable(Generic[K]):
    """Decayed means by key; the least recently used key is discarded first.

    :param max_entries: number of keys that are kept
    """

    max_entries: int
    by_key: dict[K, DecayedMean] = attrs.field(factory=dict)

    def add(self, key: K, sample: float, now: float) -> None:
        """Add a sample to the mean of a key."""
        # A dictionary keeps the order of insertion.
        found = self.by_key.pop(key, None) or DecayedMean()
        found.add(sample, now)
        self.by_key[key] = found
        if len(self.by_key) > self.max_entries:
            del self.by_key[next(iter(self.by_key))]

    def estimate(self, key: K, prior: float, now: float) -> float:
        """Return the estimate for a key, the prior value without samples."""
        found = self.by_key.get(key)
        return prior if found is None else found.estimate(prior, now)
