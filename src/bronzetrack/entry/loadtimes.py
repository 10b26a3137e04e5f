"""How long engines take to load adapters, learnt from both sides."""

from __future__ import annotations

import attrs

# Expected time of a load before any was seen.
FIRST_LOAD_S = 0.3
# A load that an engine has in its own memory takes a tenth of the time; the
# expectation starts a little higher.
WARM_SHARE = 0.2
LOAD_LOW_S = 0.01
LOAD_HIGH_S = 5.0
# A load that was announced too early raises the expectation, one that was not
# lowers it: one in fifty is announced too early.
LOAD_RAISE = 1.06
LOAD_LOWER = 0.9988


@attrs.frozen
class LoadKind:
    """Loads that take about the same time.

    :param warm: the engine held the adapter before
    :param flight: loads on their way, in steps
    """

    warm: bool
    flight: int


UNKNOWN_KIND = LoadKind(False, 0)


@attrs.define(eq=False)
class LoadTimes:
    """Learnt times of loads, by kind."""

    by_kind: dict[LoadKind, float] = attrs.field(factory=dict)

    def expect(self, kind: LoadKind) -> float:
        """Return how long a load is expected to take, in seconds."""
        known = self.by_kind.get(kind)
        if known is not None:
            return known
        if kind.flight:
            return self.expect(LoadKind(kind.warm, kind.flight - 1))
        if kind.warm:
            return WARM_SHARE * self.expect(LoadKind(False, 0))
        return FIRST_LOAD_S

    def note_early(self, kind: LoadKind) -> None:
        """Take in that a load was announced too early."""
        raised = min(LOAD_HIGH_S, self.expect(kind) * LOAD_RAISE)
        self.by_kind[kind] = raised

    def note_announced(self, kind: LoadKind) -> None:
        """Take in that a load was announced."""
        lowered = max(LOAD_LOW_S, self.expect(kind) * LOAD_LOWER)
        self.by_kind[kind] = lowered
