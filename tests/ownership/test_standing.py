"""Tests of whether an owner without log access may dispatch."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.ownership import leases
from bronzetrack.ownership import records
from bronzetrack.ownership import replay
from bronzetrack.ownership import standing

VMS = ("a", "b", "c", "d")
LAPSED_MS = leases.LEASE_MS
NO_CLAIMANTS = dict.fromkeys(VMS[1:], False)


@pytest.fixture
def cut_off() -> leases.OwnershipState:
    """Return the state of VM a, which lost access to the log.

    VM a and three others renewed their leases at 0 ms. VM a last evaluated its
    standing while it still held its lease.
    """
    state = replay.record_renewal(leases.OwnershipState(), 0, 0)
    renewals = [records.LeaseRecord(vm, f"{vm}1", 0) for vm in VMS]
    state = replay.apply_batch(state, 0, 4, enumerate(renewals), "a1", 0)
    state = replay.record_outage(state, 4_000)
    return standing.update_standing(state, "a", NO_CLAIMANTS, LAPSED_MS - 1)


def evaluate(state, claimants, now_ms=LAPSED_MS):
    return standing.update_standing(state, "a", claimants, now_ms)


def may_dispatch(state, claimants, now_ms=LAPSED_MS):
    return leases.may_dispatch(evaluate(state, claimants, now_ms), now_ms)


def test_owner_stops_when_another_vm_could_claim(cut_off):
    """Guards against dispatching to an endpoint that another VM took over."""
    assert may_dispatch(cut_off, NO_CLAIMANTS)
    assert not may_dispatch(cut_off, {**NO_CLAIMANTS, "c": True})


def test_owner_with_few_heartbeats_stops(cut_off):
    """Guards against an isolated VM or zone that continues to dispatch."""
    assert not may_dispatch(cut_off, {})
    assert not may_dispatch(cut_off, {"b": False})
    assert may_dispatch(cut_off, {"b": False, "c": False})


def test_lone_vm_serves_in_an_outage():
    """Guards against a site of one VM that stops when the log is down."""
    state = replay.record_renewal(leases.OwnershipState(), 0, 0)
    lease = records.LeaseRecord("a", "a1", 0)
    state = replay.apply_batch(state, 0, 1, [(0, lease)], "a1", 0)
    assert may_dispatch(replay.record_outage(state, 4_000), {})


def test_valid_lease_needs_no_other_vm(cut_off):
    """Guards against an owner that stops while its lease is valid."""
    assert may_dispatch(cut_off, {"b": True}, LAPSED_MS - 1)
    early = evaluate(cut_off, {"b": True}, LAPSED_MS - 1)
    assert may_dispatch(early, NO_CLAIMANTS)


def test_superseded_owner_waits_for_the_log(cut_off):
    """Guards against a superseded owner that resumes without the log.

    The other VMs lose access to the log later and report that they cannot
    claim.
    """
    stopped = evaluate(cut_off, {**NO_CLAIMANTS, "c": True})
    assert not may_dispatch(stopped, NO_CLAIMANTS, 2 * LAPSED_MS)
    doubtful = evaluate(cut_off, {})
    few = {"b": False, "c": False}
    assert not may_dispatch(doubtful, few, 2 * LAPSED_MS)
    assert may_dispatch(doubtful, NO_CLAIMANTS, 2 * LAPSED_MS)
    read = replay.apply_batch(stopped, 0, 4, [], "a1", 2 * LAPSED_MS)
    assert read.standing is leases.Standing.SOLE
    # Without a lease, the VM may not dispatch before it has renewed.
    assert not leases.may_dispatch(read, 2 * LAPSED_MS)


def test_vms_removed_before_the_outage_are_ignored(cut_off):
    """Guards against replaced VMs that count as silent forever."""
    later_ms = leases.RECENT_RENEWAL_MS + 1
    state = replay.record_renewal(cut_off, 1, later_ms)
    renewal = records.LeaseRecord("a", "a1", 1)
    state = replay.apply_batch(state, 0, 5, [(4, renewal)], "a1", later_ms)
    assert standing.list_others(cut_off, "a") == {"b", "c", "d"}
    assert standing.list_others(state, "a") == set()


def test_vm_without_a_lease_gets_no_endpoint(cut_off):
    """Guards against endpoints reserved for a VM that cannot claim."""
    held = attrs.evolve(cut_off, held_since_ms=0)
    late_ms = leases.LEASE_MS + leases.CLOCK_MARGIN_MS + 1
    assert not leases.lacks_lease(held, "b1", late_ms - 1)
    assert leases.lacks_lease(held, "b1", late_ms)
    # After an outage the others have had no time to renew.
    back = attrs.evolve(held, held_since_ms=late_ms)
    assert not leases.lacks_lease(back, "b1", late_ms)
    assert leases.lacks_lease(back, "b1", late_ms + leases.LEASE_MS)


def test_interrupted_lease_restarts_held_since(cut_off):
    """Guards against a takeover of all endpoints after an outage.

    Otherwise the VM that renews its lease first would take them over.
    """
    assert cut_off.held_since_ms == 0
    for sequence, sent_ms in ((1, 9_000), (2, 40_000)):
        cut_off = replay.record_renewal(cut_off, sequence, sent_ms)
        item = (3 + sequence, records.LeaseRecord("a", "a1", sequence))
        cut_off = replay.apply_batch(cut_off, 0, 9, [item], "a1", sent_ms)
        assert cut_off.held_since_ms == (0 if sequence == 1 else sent_ms)


def test_partial_read_does_not_reset_standing(cut_off):
    """Guards against a VM that resumes before it reads a successor's claim."""
    superseded = evaluate(cut_off, {"b": True})
    behind = replay.apply_batch(superseded, 0, 6, [], "a1", LAPSED_MS)
    again = replay.record_outage(behind, LAPSED_MS)
    assert not may_dispatch(again, NO_CLAIMANTS)
    at_end = replay.apply_batch(superseded, 0, 4, [], "a1", LAPSED_MS)
    again = replay.record_outage(at_end, LAPSED_MS)
    assert may_dispatch(again, NO_CLAIMANTS)


def test_paused_vm_needs_reports_of_all_vms(cut_off):
    """Guards against dispatch after a pause while a successor is silent."""
    late_ms = LAPSED_MS + standing.MAX_EVALUATION_GAP_MS
    assert not may_dispatch(cut_off, {"b": False, "c": False}, late_ms)
    assert may_dispatch(cut_off, NO_CLAIMANTS, late_ms)
