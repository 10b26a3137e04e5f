"""The time, read only by controllers and edges."""

from __future__ import annotations

import time

import attrs


@attrs.frozen
class Instant:
    """One reading of both clocks of a process.

    :param monotonic_ms: for durations within this process
    :param wall_ms: Unix time, for times that others stated
    """

    monotonic_ms: int
    wall_ms: int


def read_clock() -> Instant:
    """Read both clocks."""
    return Instant(
        monotonic_ms=time.monotonic_ns() // 1_000_000,
        wall_ms=time.time_ns() // 1_000_000,
    )
