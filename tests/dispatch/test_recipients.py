"""Tests of the detection of answers without a recipient."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.dispatch import recipients
from bronzetrack.ownership import leases

LOST_MS = 50_000
LAPSED_MS = LOST_MS + leases.LEASE_MS + leases.CLOCK_MARGIN_MS + 1


@pytest.fixture
def ownership() -> leases.OwnershipState:
    """Return a state with a lease that was renewed before the loss."""
    lease = leases.Lease("entry", 4, LOST_MS - 1)
    return leases.OwnershipState(leases={"i1": lease}, log_reachable=True)


def is_gone(ownership, now_ms, resumable=True):
    return recipients.is_recipient_gone(
        ownership, "i1", resumable, LOST_MS, now_ms
    )


def test_stream_continues_while_its_entry_vm_may_be_up(ownership):
    """Guards against the cancellation of a stream resumed elsewhere."""
    assert not is_gone(ownership, LAPSED_MS - 1)
    renewed = attrs.evolve(
        ownership, leases={"i1": leases.Lease("entry", 5, LAPSED_MS)}
    )
    assert not is_gone(renewed, LAPSED_MS + leases.LEASE_MS)
    unreadable = attrs.evolve(ownership, log_reachable=False)
    assert not is_gone(unreadable, 10 * LAPSED_MS)


def test_stream_of_a_crashed_entry_vm_ends(ownership):
    """Guards against slots that stay occupied after an entry VM crashed."""
    assert is_gone(ownership, LAPSED_MS)
    assert is_gone(attrs.evolve(ownership, leases={}), LAPSED_MS)
    renewed = attrs.evolve(
        ownership, leases={"i1": leases.Lease("entry", 5, LAPSED_MS)}
    )
    assert is_gone(renewed, 2 * LAPSED_MS)


def test_answer_that_cannot_be_resumed_ends_at_once(ownership):
    """Guards against a run whose answer no entry VM can resume."""
    assert is_gone(ownership, LOST_MS, resumable=False)
