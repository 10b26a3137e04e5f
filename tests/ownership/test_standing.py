"""Tests of owners that cannot read the log."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.ownership import leases
from bronzetrack.ownership import records
from bronzetrack.ownership import replay
from bronzetrack.ownership import standing

VMS = ("a", "b", "c", "d")
LAPSED_MS = leases.LEASE_MS
OUT = dict.fromkeys(VMS[1:], False)


@pytest.fixture
def cut() -> leases.OwnershipState:
    """VM a and three others renewed at 0 ms; a has not read since.

    It has judged its standing while it held its lease.
    """
    state = replay.note_sent(leases.OwnershipState(), 0, 0)
    renewals = [records.LeaseRecord(vm, f"{vm}1", 0) for vm in VMS]
    state = replay.apply_batch(state, 0, 4, enumerate(renewals), "a1", 0)
    state = replay.note_outage(state, 4_000)
    return standing.judge(state, "a", OUT, LAPSED_MS - 1)


def judge(state, claimants, now_ms=LAPSED_MS):
    return standing.judge(state, "a", claimants, now_ms)


def may_dispatch(state, claimants, now_ms=LAPSED_MS):
    return leases.may_dispatch(judge(state, claimants, now_ms), now_ms)


def test_owner_stops_when_another_vm_could_claim(cut):
    """Guards against work that a successor does not know of."""
    assert may_dispatch(cut, OUT)
    assert not may_dispatch(cut, {**OUT, "c": True})


def test_owner_that_hears_from_few_stops(cut):
    """Guards against an isolated owner, or a zone, that goes on."""
    assert not may_dispatch(cut, {})
    assert not may_dispatch(cut, {"b": False})
    assert may_dispatch(cut, {"b": False, "c": False})


def test_lone_vm_serves_in_an_outage():
    """Guards against a site of one VM that stops with the log."""
    state = replay.note_sent(leases.OwnershipState(), 0, 0)
    lease = records.LeaseRecord("a", "a1", 0)
    state = replay.apply_batch(state, 0, 1, [(0, lease)], "a1", 0)
    assert may_dispatch(replay.note_outage(state, 4_000), {})


def test_lease_that_holds_needs_no_other_vm(cut):
    """Guards against a stop before any successor can have claimed."""
    assert may_dispatch(cut, {"b": True}, LAPSED_MS - 1)
    early = judge(cut, {"b": True}, LAPSED_MS - 1)
    assert may_dispatch(early, OUT)


def test_owner_that_was_superseded_waits_for_the_log(cut):
    """Guards against an owner that resumes when the log fails for all."""
    stopped = judge(cut, {**OUT, "c": True})
    assert not may_dispatch(stopped, OUT, 2 * LAPSED_MS)
    doubtful = judge(cut, {})
    few = {"b": False, "c": False}
    assert not may_dispatch(doubtful, few, 2 * LAPSED_MS)
    assert may_dispatch(doubtful, OUT, 2 * LAPSED_MS)
    read = replay.apply_batch(stopped, 0, 4, [], "a1", 2 * LAPSED_MS)
    assert read.standing is leases.Standing.SOLE
    # Without a lease it may not go on before it has renewed.
    assert not leases.may_dispatch(read, 2 * LAPSED_MS)


def test_vms_gone_before_the_outage_are_not_missed(cut):
    """Guards against replaced VMs that count as silent for ever."""
    later_ms = leases.KNOWN_MS + 1
    state = replay.note_sent(cut, 1, later_ms)
    renewal = records.LeaseRecord("a", "a1", 1)
    state = replay.apply_batch(state, 0, 5, [(4, renewal)], "a1", later_ms)
    assert standing.list_others(cut, "a") == {"b", "c", "d"}
    assert standing.list_others(state, "a") == set()


def test_vm_without_a_lease_gets_no_endpoint(cut):
    """Guards against endpoints kept free for a VM that cannot claim."""
    held = attrs.evolve(cut, held_since_ms=0)
    late_ms = leases.LEASE_MS + leases.CLOCK_MARGIN_MS + 1
    assert not leases.lacks_lease(held, "b1", late_ms - 1)
    assert leases.lacks_lease(held, "b1", late_ms)
    # After an outage the others have had no time to renew.
    back = attrs.evolve(held, held_since_ms=late_ms)
    assert not leases.lacks_lease(back, "b1", late_ms)
    assert leases.lacks_lease(back, "b1", late_ms + leases.LEASE_MS)


def test_break_of_the_lease_starts_its_time_anew(cut):
    """Guards against the first to renew taking all endpoints."""
    assert cut.held_since_ms == 0
    for sequence, sent_ms in ((1, 9_000), (2, 40_000)):
        cut = replay.note_sent(cut, sequence, sent_ms)
        item = (3 + sequence, records.LeaseRecord("a", "a1", sequence))
        cut = replay.apply_batch(cut, 0, 9, [item], "a1", sent_ms)
        assert cut.held_since_ms == (0 if sequence == 1 else sent_ms)


def test_read_that_stops_before_the_end_lifts_no_doubt(cut):
    """Guards against a VM that goes on before it read of its successor."""
    doubtful = judge(cut, {"b": True})
    behind = replay.apply_batch(doubtful, 0, 6, [], "a1", LAPSED_MS)
    again = replay.note_outage(behind, LAPSED_MS)
    assert not may_dispatch(again, OUT)
    at_end = replay.apply_batch(doubtful, 0, 4, [], "a1", LAPSED_MS)
    again = replay.note_outage(at_end, LAPSED_MS)
    assert may_dispatch(again, OUT)


def test_paused_vm_needs_the_word_of_all(cut):
    """Guards against a successor that claimed and is silent after a pause."""
    late_ms = LAPSED_MS + standing.JUDGE_GAP_MS
    assert not may_dispatch(cut, {"b": False, "c": False}, late_ms)
    assert may_dispatch(cut, OUT, late_ms)
