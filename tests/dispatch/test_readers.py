"""Tests of answers that their entry VM does not take."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.dispatch import readers
from bronzetrack.ownership import leases

LOST_MS = 50_000
LAPSED_MS = LOST_MS + leases.LEASE_MS + leases.CLOCK_MARGIN_MS + 1


@pytest.fixture
def ownership() -> leases.OwnershipState:
    """The entry VM renewed its lease before its answer was lost."""
    lease = leases.Lease("entry", 4, LOST_MS - 1)
    return leases.OwnershipState(leases={"i1": lease}, log_reachable=True)


def is_gone(ownership, now_ms, resumable=True):
    return readers.is_reader_gone(ownership, "i1", resumable, LOST_MS, now_ms)


def test_stream_runs_on_while_its_entry_vm_may_live(ownership):
    """Guards against a cancel of a stream that was resumed elsewhere."""
    assert not is_gone(ownership, LAPSED_MS - 1)
    renewed = attrs.evolve(
        ownership, leases={"i1": leases.Lease("entry", 5, LAPSED_MS)}
    )
    assert not is_gone(renewed, LAPSED_MS + leases.LEASE_MS)
    unreadable = attrs.evolve(ownership, log_reachable=False)
    assert not is_gone(unreadable, 10 * LAPSED_MS)


def test_stream_of_a_dead_entry_vm_ends(ownership):
    """Guards against slots that are held for callers that are gone."""
    assert is_gone(ownership, LAPSED_MS)
    assert is_gone(attrs.evolve(ownership, leases={}), LAPSED_MS)
    renewed = attrs.evolve(
        ownership, leases={"i1": leases.Lease("entry", 5, LAPSED_MS)}
    )
    assert is_gone(renewed, 2 * LAPSED_MS)


def test_answer_in_one_piece_ends_at_once(ownership):
    """Guards against a run that nobody can ever read."""
    assert is_gone(ownership, LOST_MS, resumable=False)
