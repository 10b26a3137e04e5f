"""Tests of when a VM knows all others that may act beside it."""

from __future__ import annotations

import pytest

from bronzetrack.entry.peering import joining
from bronzetrack.entry.peering import peers

LIMIT_S = joining.REWRITE_LIMIT_S


@pytest.fixture
def member(now) -> joining.Joining:
    """VM that has joined a fleet in era 1."""
    member = joining.Joining()
    member.record_announcement(1, now - 2 * LIMIT_S)
    member.record_listing(1, now, now)
    member.update(False, False, now)
    assert not member.is_joining
    return member


@pytest.mark.parametrize(
    ("announced_s", "listed_s", "joins"),
    [(0.0, 0.1, True), (0.1, 0.0, False), (None, 0.1, False)],
)
def test_vm_reads_of_the_others_after_its_own_announcement(
    now, announced_s, listed_s, joins
):
    """Guards against two VMs that both read before they are announced."""
    state = joining.Joining()
    if announced_s is not None:
        state.record_announcement(None, now + announced_s)
    state.record_listing(None, now + listed_s, now + 1)
    assert state.update(False, False, now + 1) is joins


@pytest.mark.parametrize("era", [1, 2])
def test_vm_waits_until_lost_announcements_are_written_again(now, era):
    """Guards against a listing that lacks the other VMs.

    The store may be restored once more while the VM waits.
    """
    state = joining.Joining()
    state.record_announcement(1, now)
    state.record_listing(1, now + 1, now + 1)
    assert not state.update(False, False, now + 1)
    state.record_announcement(era, now + 2)
    assert state.listing_due == now + LIMIT_S + 2 * (era - 1)
    state.record_listing(era, now + LIMIT_S, now + LIMIT_S)
    assert state.update(False, False, now + LIMIT_S) is (era == 1)


def test_vm_that_knows_others_waits_until_a_hub_introduces_it(now):
    """Guards against a VM that knows one VM of a larger fleet."""
    state = joining.Joining()
    state.record_announcement(1, now)
    state.record_listing(1, now + LIMIT_S, now + LIMIT_S)
    assert not state.update(True, True, now + LIMIT_S)
    state.is_introduced = True
    assert state.update(True, True, now + LIMIT_S)


def test_vm_that_hears_nobody_joins_again_once_its_listing_is_old(now, member):
    """Guards against a VM that wakes after another has taken its place."""
    assert not member.update(False, False, now + LIMIT_S - 0.1)
    assert member.update(False, False, now + LIMIT_S)
    assert member.is_joining
    # What it reads first may lack others.
    member.record_listing(1, now + LIMIT_S + 1, now + LIMIT_S + 1)
    assert not member.update(False, False, now + LIMIT_S + 1)


def test_vm_that_hears_others_needs_no_store(now, member):
    """Guards against a fleet that stops during an outage of the store."""
    assert not member.update(True, True, now + 100 * LIMIT_S)


def test_vm_without_eras_relies_longer_on_its_listing(now):
    """Guards against refusals where the store loses nothing."""
    state = joining.Joining()
    state.record_announcement(None, now)
    state.record_listing(None, now, now)
    assert state.update(False, False, now)
    assert not state.update(False, False, now + peers.PEER_EXPIRY_S - 1)
    assert state.update(False, False, now + peers.PEER_EXPIRY_S)
