"""Idempotency keys that contain their time of issue."""

from __future__ import annotations

import uuid

RANDOM_BITS = 74


def make_uuid7(wall_ms: int, random: int) -> uuid.UUID:
    """Return a UUID of version 7, which Python lacks before 3.14.

    :param wall_ms: Unix time of issue
    :param random: at least RANDOM_BITS random bits
    """
    high = random >> 62 & 0xFFF
    low = random & (1 << 62) - 1
    value = (wall_ms & (1 << 48) - 1) << 80
    return uuid.UUID(int=value | 7 << 76 | high << 64 | 2 << 62 | low)


def contains_issue_time(key: str) -> bool:
    """Return whether a key is a UUID that contains its time of issue."""
    try:
        return uuid.UUID(key).version == 7
    except ValueError:
        return False
