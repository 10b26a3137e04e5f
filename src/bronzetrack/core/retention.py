"""When state that the log keeps has to be copied to its end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

# The log service has to retain records for at least twice this time.
COPY_INTERVAL_MS = 1_800_000
# Copies are harmless but not free: lower ranks wait, so that normally one VM
# makes the copy and the others see it in time.
RANK_PART = 0.05
RANKS = 8


@attrs.frozen
class Retained:
    """The range that the log retains, and the newest copy of the state.

    :param start: the earliest offset that is retained
    :param end: the offset that the next append gets
    :param copy: offset of the newest copy, 0 before any
    :param copy_ms: monotonic time at which this VM read the copy, or started
        to follow the stream
    """

    start: int = 0
    end: int = 0
    copy: int = 0
    copy_ms: int = 0


def find_fresh(
    next_offset: int, start: int, items: Iterable[tuple[int, Any]]
) -> tuple[int, list[tuple[int, Any]]]:
    """Return where a reader goes on, and the records it has not read.

    It goes on above its position if the log has dropped records in between.

    :param next_offset: position of the reader
    :param start: the earliest offset that is retained
    :param items: offsets and records of one read
    """
    fresh = [item for item in items if item[0] >= next_offset]
    first = fresh[0][0] if fresh else max(start, next_offset)
    return first, fresh


def is_copy_due(
    retained: Retained,
    rank: int,
    now_ms: int,
    interval_ms: int = COPY_INTERVAL_MS,
) -> bool:
    """Return whether this VM should append a copy now.

    A copy is due when the last one was dropped, when it lies in the older
    half of what is retained, or when it is old.

    :param rank: place of this VM among those that could make the copy
    """
    if retained.copy < retained.start:
        return True
    delay = RANK_PART * min(rank, RANKS)
    if now_ms - retained.copy_ms >= interval_ms * (1 + delay):
        return True
    kept = retained.end - retained.start
    return retained.start > 0 and retained.copy - retained.start < kept * (
        0.5 - delay
    )
