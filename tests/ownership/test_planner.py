"""Tests of claims, handovers, holding records and resets."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.ownership import leases
from bronzetrack.ownership import planner
from bronzetrack.ownership import records
from bronzetrack.ownership import replay

NAMES = tuple(f"e{index}" for index in range(30))


@pytest.fixture
def planner_input() -> planner.PlannerInput:
    """Return input with thirty idle endpoints and VM a as the only VM."""
    endpoint = inventories.Endpoint("127.0.0.1", 1, "zone-a")
    return planner.PlannerInput(
        "a", "i1", dict.fromkeys(NAMES, endpoint), {"a": "zone-a"}, NAMES
    )


@pytest.fixture
def owning_state(planner_input) -> leases.OwnershipState:
    """Return the state of VM a after it claimed every endpoint."""
    state = leases.OwnershipState()
    lease = records.LeaseRecord("a", "i1", 0)
    claim = planner.plan_claim(state, planner_input, 0)
    return replay.apply_batch(state, 0, 2, [(0, lease), (1, claim)], "i1", 0)


def add_vm(
    planner_input: planner.PlannerInput, **changes
) -> planner.PlannerInput:
    zones = {"a": "zone-a", "b": "zone-a"}
    return attrs.evolve(planner_input, vm_zones=zones, **changes)


def test_joining_vm_gets_a_share(owning_state, planner_input):
    """Guards against a first VM that keeps all endpoints."""
    state = planner.plan_handover(owning_state, add_vm(planner_input))
    assert 5 < len(state.given_up) < 25
    assert not state.draining
    release = planner.plan_release(state, add_vm(planner_input))
    assert set(release.endpoints) == state.given_up


def test_busy_endpoint_drains_alone(owning_state, planner_input):
    """Guards against handover of busy endpoints and many draining at once."""
    state = planner.plan_handover(owning_state, add_vm(planner_input, idle=()))
    assert not state.given_up
    assert len(state.draining) == 1
    again = planner.plan_handover(state, add_vm(planner_input, idle=()))
    assert again.draining == state.draining


def test_drain_ends_when_the_new_vm_leaves(owning_state, planner_input):
    """Guards against an endpoint that drains forever.

    The VM that was to take over the endpoint leaves before the handover.
    """
    state = planner.plan_handover(owning_state, add_vm(planner_input, idle=()))
    assert not planner.plan_handover(state, planner_input).draining


def test_given_up_endpoint_gets_no_order(owning_state, planner_input):
    """Guards against orders between the release and its read-back."""
    state = attrs.evolve(owning_state, held_until_ms=100_000)
    name = sorted(
        planner.plan_handover(state, add_vm(planner_input)).given_up
    )[0]
    assert leases.may_order(state, name, "i1", False, 10_000)
    state = planner.plan_handover(state, add_vm(planner_input))
    assert not leases.may_order(state, name, "i1", False, 10_000)


def test_lease_counts_from_before_the_append(planner_input):
    """Guards against a holder that acts after followers see its lease end."""
    state = replay.record_renewal(leases.OwnershipState(), 0, 1_000)
    lease = records.LeaseRecord("a", "i1", 0)
    state = replay.apply_batch(state, 0, 1, [(0, lease)], "i1", 9_000)
    assert state.held_until_ms == 1_000 + leases.LEASE_MS


def test_truncated_replay_ignores_stale_snapshot(owning_state, planner_input):
    """Guards against a replay that starts from outdated claims."""
    holding = planner.make_holding(owning_state)
    release = records.ReleaseRecord("a", "i1", {"e0": 1})
    items = [(2, release), (3, holding)]
    late = replay.apply_batch(leases.OwnershipState(), 2, 4, items, "i2", 0)
    assert not late.complete


def test_truncated_replay_ignores_claims_before_holding(
    owning_state, planner_input
):
    """Guards against a claim that wins because the owner's was dropped."""
    claim = records.ClaimRecord("b", "i2", ("e0",))
    state = replay.apply_batch(owning_state, 0, 3, [(2, claim)], "i1", 0)
    holding = planner.make_holding(state)
    late = replay.apply_batch(
        leases.OwnershipState(), 2, 4, [(2, claim), (3, holding)], "i3", 0
    )
    assert late.complete
    assert late.owners["e0"].incarnation == "i1"
    assert late.owners["e0"].fencing == 1


def test_reset_is_void_after_any_record(owning_state):
    """Guards against a reset that voids claims of a live holder."""
    lease = records.LeaseRecord("a", "i1", 1)
    items = [(2, lease), (3, records.ResetRecord(2))]
    state = replay.apply_batch(owning_state, 0, 4, items, "i1", 0)
    assert state.owners
    reset = records.ResetRecord(4)
    state = replay.apply_batch(state, 0, 5, [(4, reset)], "i1", 0)
    assert not state.owners


def test_quiet_time_excludes_an_outage(owning_state, planner_input):
    """Guards against a reset right after an outage of the log.

    Time without access to the log must not count as a quiet period.
    """
    state = replay.apply_batch(leases.OwnershipState(), 5, 5, [], "i2", 0)
    late_ms = leases.QUIET_PERIOD_MS + 1
    assert planner.plan_snapshot(
        state, planner_input, late_ms
    ) == records.ResetRecord(5)
    state = replay.record_outage(state, late_ms)
    assert planner.plan_snapshot(state, planner_input, late_ms) is None


def test_late_copy_of_release_is_void(owning_state):
    """Guards against a duplicate release that ends a later claim."""
    release = records.ReleaseRecord("a", "i1", {"e0": 1})
    claim = records.ClaimRecord("a", "i1", ("e0",))
    items = [(2, release), (3, claim), (4, release)]
    state = replay.apply_batch(owning_state, 0, 5, items, "i1", 0)
    assert state.owners["e0"].fencing == 3


def test_holder_without_known_lease_keeps_lease_time(owning_state):
    """Guards against an early takeover from a holder without known lease."""
    state = attrs.evolve(owning_state, leases={})
    assert not leases.is_lapsed(state, "e0", leases.LEASE_MS)
    assert leases.is_lapsed(state, "e0", 2 * leases.LEASE_MS)
