"""Tests of claims, and of the actions that a lease permits."""

from __future__ import annotations

import pytest

from bronzetrack.ownership import leases
from bronzetrack.ownership import records
from bronzetrack.ownership import replay


@pytest.fixture
def claimed() -> leases.OwnershipState:
    """Return a state in which incarnation i1 owns e1, read at 0 ms."""
    state = leases.OwnershipState()
    state = replay.apply_record(state, 0, records.LeaseRecord("a", "i1", 0), 0)
    claim = records.ClaimRecord("a", "i1", ("e1",))
    return replay.apply_record(state, 1, claim, 0)


def test_first_claim_wins(claimed):
    """Guards against two owners of one endpoint after racing claims."""
    claim = records.ClaimRecord("b", "i2", ("e1",))
    state = replay.apply_record(claimed, 2, claim, 0)
    assert state.owners["e1"].vm == "a"
    assert state.owners["e1"].fencing == 1


def test_claim_after_renewal_has_no_effect(claimed):
    """Guards against an effective claim that raced with a lease renewal."""
    renewal = records.LeaseRecord("a", "i1", 1)
    state = replay.apply_record(claimed, 2, renewal, 9_000)
    claim = records.ClaimRecord("b", "i2", ("e1",), {"i1": 0})
    state = replay.apply_record(state, 3, claim, 20_000)
    assert state.owners["e1"].vm == "a"


def test_claim_of_lapsed_lease_takes_over(claimed):
    """Guards against an endpoint that keeps a dead owner."""
    claim = records.ClaimRecord("b", "i2", ("e1",), {"i1": 0})
    state = replay.apply_record(claimed, 2, claim, 20_000)
    assert state.owners["e1"].vm == "b"
    assert state.owners["e1"].fencing == 2


def test_follower_sees_lease_lapse_after_holder(claimed):
    """Guards against a successor that acts before the lease has ended."""
    assert not leases.is_lapsed(claimed, "e1", leases.LEASE_MS)
    lapse_ms = leases.LEASE_MS + leases.CLOCK_MARGIN_MS + 1
    assert leases.is_lapsed(claimed, "e1", lapse_ms)


def test_paused_holder_may_not_order(claimed):
    """Guards against an eviction by a holder after a pause."""
    until = leases.LEASE_MS
    state = leases.OwnershipState(
        owners=claimed.owners, leases=claimed.leases, held_until_ms=until
    )
    early = leases.ORDER_LIFE_MS
    assert leases.may_order(state, "e1", "i1", False, early)
    late = until - leases.ORDER_LIFE_MS + 1
    assert not leases.may_order(state, "e1", "i1", False, late)


def test_successor_waits_for_orders_of_predecessor(claimed):
    """Guards against a late order that interferes with the successor's."""
    state = leases.OwnershipState(
        owners=claimed.owners, held_until_ms=1_000_000
    )
    early = leases.ORDER_LIFE_MS - 1
    assert not leases.may_order(state, "e1", "i1", False, early)


def test_paused_holder_may_not_dispatch(claimed):
    """Guards against new work that needs an adapter under eviction."""
    state = leases.OwnershipState(
        owners=claimed.owners, held_until_ms=10_000, log_reachable=True
    )
    assert leases.may_dispatch(state, 9_999)
    assert not leases.may_dispatch(state, 10_000)


def test_holder_keeps_dispatching_in_outage_of_log(claimed):
    """Guards against a site that stops serving when the log is down."""
    state = leases.OwnershipState(
        owners=claimed.owners,
        held_until_ms=10_000,
        log_reachable=False,
        judged_ms=1_000_000,
    )
    assert leases.may_dispatch(state, 1_000_000)


def test_holder_paused_in_an_outage_may_not_dispatch(claimed):
    """Guards against the use of a standing from before a pause."""
    state = leases.OwnershipState(
        owners=claimed.owners, held_until_ms=10_000, judged_ms=20_000
    )
    validity_ms = leases.STANDING_VALIDITY_MS
    assert leases.may_dispatch(state, 20_000 + validity_ms)
    assert not leases.may_dispatch(state, 20_000 + validity_ms + 1)


@pytest.mark.parametrize(
    "standing", [leases.Standing.DOUBTFUL, leases.Standing.SUPERSEDED]
)
def test_holder_with_possible_successor_stops_dispatching(claimed, standing):
    """Guards against new work that a successor's eviction may break."""
    state = leases.OwnershipState(
        owners=claimed.owners, held_until_ms=10_000, standing=standing
    )
    assert leases.may_dispatch(state, 9_999)
    assert not leases.may_dispatch(state, 10_000)
