"""Decides when a snapshot of the state has to be appended to the log."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

# The log service has to retain records for at least twice this interval.
SNAPSHOT_INTERVAL_MS = 1_800_000
# Redundant snapshots are correct but add records to the log. VMs with a higher
# rank number wait longer, by this share of the interval for each rank, so that
# normally one VM appends the snapshot and the others read it in time.
RANK_DELAY_SHARE = 0.05
MAX_DELAYED_RANK = 8


@attrs.frozen
class Retained:
    """The retained range of the log and the newest snapshot of the state.

    :param start: the earliest offset that is retained
    :param end: the offset that the next append gets
    :param copy: offset of the newest snapshot, 0 if there is none yet
    :param copy_ms: monotonic time in milliseconds at which this VM read the
        snapshot, or started to follow the stream
    """

    start: int = 0
    end: int = 0
    copy: int = 0
    copy_ms: int = 0


def find_unread(
    next_offset: int, start: int, items: Iterable[tuple[int, Any]]
) -> tuple[int, list[tuple[int, Any]]]:
    """Return the offset at which a reader continues, and its unread records.

    The offset is above the reader's position if the log has dropped records
    in between.

    :param next_offset: position of the reader
    :param start: the earliest offset that is retained
    :param items: offsets and records of one read
    """
    unread = [item for item in items if item[0] >= next_offset]
    first = unread[0][0] if unread else max(start, next_offset)
    return first, unread


def is_snapshot_due(
    retained: Retained,
    rank: int,
    now_ms: int,
    interval_ms: int = SNAPSHOT_INTERVAL_MS,
) -> bool:
    """Return whether this VM should append a snapshot of the state now.

    A snapshot is due when the log has dropped the newest one, when the newest
    one lies in the older half of the retained range, or when the interval has
    passed since it was read. The last two limits hold for rank 0; for
    higher ranks both come later, see RANK_DELAY_SHARE.

    :param rank: position of this VM among those that can append it
    :param now_ms: the current monotonic time in milliseconds
    :param interval_ms: age in milliseconds at which a VM of rank 0 appends a
        new snapshot
    """
    if retained.copy < retained.start:
        return True
    delay = RANK_DELAY_SHARE * min(rank, MAX_DELAYED_RANK)
    if now_ms - retained.copy_ms >= interval_ms * (1 + delay):
        return True
    span = retained.end - retained.start
    return retained.start > 0 and retained.copy - retained.start < span * (
        0.5 - delay
    )
