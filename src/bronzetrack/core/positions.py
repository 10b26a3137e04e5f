"""Positions in the logs of the store.

The store may be restored from an older copy, after which it gives offsets out
again. Its era rises by one each time. A position holds both, so that positions
of different eras compare by their eras.
"""

from __future__ import annotations

from typing import NewType

Position = NewType("Position", int)
# Number of low bits that hold the offset.
OFFSET_BITS = 32
# Positions up to this era are whole numbers in JSON everywhere.
MAX_ERA = 2**20 - 1


def make_position(era: int, offset: int) -> Position:
    """Return the position of an offset in an era."""
    return Position((era << OFFSET_BITS) + offset)


def get_era(position: int) -> int:
    """Return the era of a position of a record."""
    return position >> OFFSET_BITS


def get_offset(position: int) -> int:
    """Return the offset of a position, -1 for an unknown position."""
    return position & ((1 << OFFSET_BITS) - 1) if position >= 0 else -1
