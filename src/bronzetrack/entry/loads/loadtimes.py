"""Expected load times of adapters, learnt from early and timely loads."""

from __future__ import annotations

import attrs

# Expected duration of a load before any was observed.
INITIAL_LOAD_S = 0.3
# A load from the engine's own memory takes a tenth of the time. The estimate
# starts a little higher than that.
CACHED_LOAD_SHARE = 0.2
# Bounds of the learnt load times.
MIN_LOAD_S = 0.01
MAX_LOAD_S = 5.0
# A load that was announced too early raises the estimate and any other load
# lowers it, so that about one in two hundred is announced too early. That
# costs each request that waits a rejection and another send, while an
# announcement that is 6% late costs them 20 ms.
EARLY_LOAD_FACTOR = 1.06
TIMELY_LOAD_FACTOR = 0.9997


@attrs.frozen
class LoadKind:
    """Class of loads that take about the same time.

    :param cached: whether the engine held the adapter before
    :param in_flight_level: loads in progress over all engines, in steps
    """

    cached: bool
    in_flight_level: int


UNKNOWN_KIND = LoadKind(False, 0)


@attrs.define(eq=False)
class LoadTimes:
    """Learnt load times in seconds by kind of load."""

    by_kind: dict[LoadKind, float] = attrs.field(factory=dict)

    def estimate(self, kind: LoadKind) -> float:
        """Return the expected duration of a load in seconds."""
        learned_s = self.by_kind.get(kind)
        if learned_s is not None:
            return learned_s
        if kind.in_flight_level:
            return self.estimate(
                LoadKind(kind.cached, kind.in_flight_level - 1)
            )
        if kind.cached:
            return CACHED_LOAD_SHARE * self.estimate(LoadKind(False, 0))
        return INITIAL_LOAD_S

    def record_early(self, kind: LoadKind) -> None:
        """Raise the estimate after a load that was announced too early."""
        raised = min(MAX_LOAD_S, self.estimate(kind) * EARLY_LOAD_FACTOR)
        self.by_kind[kind] = raised

    def record_timely(self, kind: LoadKind) -> None:
        """Lower the estimate after a load was announced."""
        lowered = max(MIN_LOAD_S, self.estimate(kind) * TIMELY_LOAD_FACTOR)
        self.by_kind[kind] = lowered
