"""Readings of the clocks, which only controllers and I/O code take."""

from __future__ import annotations

import time

import attrs


@attrs.frozen
class Instant:
    """One reading of the monotonic clock and the wall clock.

    :param monotonic_ms: monotonic time in milliseconds, for durations within
        this process
    :param wall_ms: Unix time in milliseconds, to compare with timestamps
        from other processes
    """

    monotonic_ms: int
    wall_ms: int


def read_clock() -> Instant:
    """Return the current time of both clocks."""
    return Instant(
        monotonic_ms=time.monotonic_ns() // 1_000_000,
        wall_ms=time.time_ns() // 1_000_000,
    )
