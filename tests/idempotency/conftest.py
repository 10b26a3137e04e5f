"""Fixtures for tests of idempotency keys."""

from __future__ import annotations

import pytest

from bronzetrack.core import clock
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import table as tables

ISSUED_MS = 1_000_000_000


@pytest.fixture
def now() -> clock.Instant:
    return clock.Instant(100_000, ISSUED_MS)


@pytest.fixture
def key() -> keys.IdempotencyKey:
    return keys.IdempotencyKey("k", ISSUED_MS)


@pytest.fixture
def claimed() -> tables.KeyEntry:
    """The entry of a key that attempt t1 of incarnation i1 claimed."""
    return tables.KeyEntry(
        tables.KeyPhase.CLAIMED, 0, ISSUED_MS, "i1", "t1", "d"
    )
