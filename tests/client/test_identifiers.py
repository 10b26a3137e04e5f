"""Tests of keys that contain their time of issue."""

from __future__ import annotations

from bronzetrack.client import identifiers
from bronzetrack.idempotency import keys


def test_daemon_reads_the_time_of_a_key():
    """Guards against keys whose validity window starts at a wrong time."""
    wall_ms = 1_790_000_000_123
    random = (1 << identifiers.RANDOM_BITS) - 1
    key = str(identifiers.make_uuid7(wall_ms, random))
    checked = keys.check_key("trust", key, None, wall_ms)
    assert checked.issued_ms == wall_ms
