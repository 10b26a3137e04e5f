"""Replay of the ownership stream and decisions about leases."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from bronzetrack.ownership import records

LEASE_MS = 10_000
RENEWAL_INTERVAL_MS = 3_000
CLOCK_MARGIN_MS = 1_000
ORDER_LIFE_MS = 5_000


@attrs.frozen
class Lease:
    """The newest renewal of an incarnation.

    :param read_ms: monotonic time at which this VM read the renewal
    """

    vm: str
    sequence: int
    read_ms: int


@attrs.frozen
class Ownership:
    """Who owns an endpoint.

    :param fencing: offset of the claim
    :param claimed_ms: monotonic time at which this VM read the claim
    """

    vm: str
    incarnation: str
    fencing: int
    claimed_ms: int


@attrs.frozen
class OwnershipState:
    """The section of the ownership controller.

    :param next_offset: the log position that is read next
    :param leases: newest lease by incarnation
    :param owners: owner by endpoint
    :param held_until_ms: monotonic time until which this VM holds its lease
    :param caught_up: whether the end of the stream has been read
    """

    next_offset: int = 0
    leases: Mapping[str, Lease] = attrs.field(factory=dict)
    owners: Mapping[str, Ownership] = attrs.field(factory=dict)
    held_until_ms: int = 0
    caught_up: bool = False


def apply_record(
    state: OwnershipState, offset: int, record: Any, now_ms: int
) -> OwnershipState:
    """Return the state after one record of the stream.

    :param now_ms: monotonic time at which the record was read
    """
    state = attrs.evolve(state, next_offset=offset + 1)
    match record:
        case records.LeaseRecord():
            return _apply_lease(state, record, now_ms)
        case records.ClaimRecord():
            return _apply_claim(state, offset, record, now_ms)
        case records.HoldingRecord():
            return _apply_holding(state, record, now_ms)
        case records.ReleaseRecord():
            return _apply_release(state, record)
    return state


def _apply_lease(
    state: OwnershipState, record: records.LeaseRecord, now_ms: int
) -> OwnershipState:
    known = state.leases.get(record.incarnation)
    if known is not None and known.sequence >= record.sequence:
        return state
    lease = Lease(vm=record.vm, sequence=record.sequence, read_ms=now_ms)
    return attrs.evolve(
        state, leases={**state.leases, record.incarnation: lease}
    )


def _apply_claim(
    state: OwnershipState,
    offset: int,
    record: records.ClaimRecord,
    now_ms: int,
) -> OwnershipState:
    won = {
        endpoint: Ownership(record.vm, record.incarnation, offset, now_ms)
        for endpoint in record.endpoints
        if _is_claimable(state, endpoint, record)
    }
    return attrs.evolve(state, owners={**state.owners, **won})


def _is_claimable(
    state: OwnershipState, endpoint: str, record: records.ClaimRecord
) -> bool:
    owner = state.owners.get(endpoint)
    if owner is None:
        return True
    if owner.incarnation == record.incarnation:
        return False
    stated = record.lapsed.get(owner.incarnation)
    lease = state.leases.get(owner.incarnation)
    newest = -1 if lease is None else lease.sequence
    return stated is not None and stated >= newest


def _apply_holding(
    state: OwnershipState, record: records.HoldingRecord, now_ms: int
) -> OwnershipState:
    newer = {
        endpoint: Ownership(record.vm, record.incarnation, fencing, now_ms)
        for endpoint, fencing in record.endpoints.items()
        if endpoint not in state.owners
        or state.owners[endpoint].fencing < fencing
    }
    return attrs.evolve(state, owners={**state.owners, **newer})


def _apply_release(
    state: OwnershipState, record: records.ReleaseRecord
) -> OwnershipState:
    kept = {
        endpoint: owner
        for endpoint, owner in state.owners.items()
        if endpoint not in record.endpoints
        or owner.incarnation != record.incarnation
    }
    return attrs.evolve(state, owners=kept)


def is_lapsed(state: OwnershipState, incarnation: str, now_ms: int) -> bool:
    """Return whether a follower may state the lease of a holder as lapsed."""
    lease = state.leases.get(incarnation)
    if lease is None:
        return True
    return now_ms - lease.read_ms > LEASE_MS + CLOCK_MARGIN_MS


def list_owned(state: OwnershipState, incarnation: str) -> list[str]:
    """Return the endpoints that an incarnation owns."""
    return sorted(
        endpoint
        for endpoint, owner in state.owners.items()
        if owner.incarnation == incarnation
    )


def may_order(
    state: OwnershipState,
    endpoint: str,
    incarnation: str,
    checks_fencing: bool,
    now_ms: int,
) -> bool:
    """Return whether this VM may send an exclusive order to an endpoint.

    An order has to end within the lease. An endpoint that ignores fencing
    numbers may still receive an order of the predecessor for the life of an
    order after the claim.
    """
    owner = state.owners.get(endpoint)
    if owner is None or owner.incarnation != incarnation:
        return False
    if checks_fencing:
        return True
    settled_ms = owner.claimed_ms + ORDER_LIFE_MS
    return settled_ms <= now_ms <= state.held_until_ms - ORDER_LIFE_MS


def may_dispatch_once(
    state: OwnershipState, endpoint: str, incarnation: str, now_ms: int
) -> bool:
    """Return whether this VM may dispatch work that must not be repeated."""
    owner = state.owners.get(endpoint)
    if owner is None or owner.incarnation != incarnation:
        return False
    return now_ms < state.held_until_ms
