"""Replay of the ownership stream.

Every replay that is complete comes to the same owners at the same position,
wherever it started.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from bronzetrack.core import retention
from bronzetrack.ownership import leases
from bronzetrack.ownership import records


def apply_batch(
    state: leases.OwnershipState,
    start: int,
    end: int,
    items: Iterable[tuple[int, Any]],
    incarnation: str,
    now_ms: int,
) -> leases.OwnershipState:
    """Return the state after one read of the stream.

    :param start: the earliest offset that is retained
    :param end: the offset that the next append gets
    :param items: offsets and records; those read before are skipped
    :param incarnation: the own one
    :param now_ms: monotonic time at which the batch was read
    """
    retained = attrs.evolve(state.retained, start=start, end=end)
    state = attrs.evolve(state, retained=retained)
    first, fresh = retention.find_fresh(state.next_offset, start, items)
    if first > state.next_offset:
        state = skip_records(state, first, now_ms)
    for offset, record in fresh:
        state = apply_record(state, offset, record, now_ms)
        state = _note_own(state, record, incarnation, now_ms)
    at_end = state.next_offset >= end
    caught_up = state.complete and (state.caught_up or at_end)
    # A read that stops before the end does not tell of every successor.
    standing = leases.Standing.SOLE if at_end else state.standing
    return attrs.evolve(
        state, caught_up=caught_up, log_reachable=True, standing=standing
    )


def note_outage(
    state: leases.OwnershipState, now_ms: int
) -> leases.OwnershipState:
    """Return the state after a read failed.

    A stream that could not be read does not count as quiet.
    """
    state = attrs.evolve(state, log_reachable=False)
    return state if state.complete else attrs.evolve(state, read_ms=now_ms)


def skip_records(
    state: leases.OwnershipState, offset: int, now_ms: int
) -> leases.OwnershipState:
    """Return the state after records were dropped before they were read."""
    return attrs.evolve(
        state,
        next_offset=offset,
        changed_offset=offset,
        complete=False,
        caught_up=False,
        owners={},
        leases={},
        draining=frozenset(),
        given_up=frozenset(),
        read_ms=now_ms,
    )


def apply_record(
    state: leases.OwnershipState, offset: int, record: Any, now_ms: int
) -> leases.OwnershipState:
    """Return the state after one record of the stream.

    :param now_ms: monotonic time at which the record was read
    """
    before = state
    state = attrs.evolve(state, next_offset=offset + 1, read_ms=now_ms)
    match record:
        case records.LeaseRecord():
            return _apply_lease(state, record, now_ms)
        case records.HoldingRecord():
            return _apply_holding(state, offset, record, now_ms)
        case records.ResetRecord():
            if record.through == offset:
                state = _start_empty(state, offset, now_ms)
        case records.ClaimRecord() if before.complete:
            state = _apply_claim(state, offset, record, now_ms)
        case records.ReleaseRecord() if before.complete:
            state = _apply_release(state, record)
    return attrs.evolve(state, changed_offset=offset + 1)


def _apply_lease(
    state: leases.OwnershipState, record: records.LeaseRecord, now_ms: int
) -> leases.OwnershipState:
    if leases.get_sequence(state, record.incarnation) >= record.sequence:
        return state
    lease = leases.Lease(record.vm, record.sequence, now_ms)
    return attrs.evolve(
        state,
        leases={**state.leases, record.incarnation: lease},
        renewed_ms={
            **_list_known(state, record.vm, now_ms),
            record.vm: now_ms,
        },
    )


def _list_known(
    state: leases.OwnershipState, vm: str, now_ms: int
) -> Mapping[str, int]:
    """Return when VMs renewed, without old ones if the map is to grow.

    With each record it took two thirds of its replay among 400 VMs.
    """
    if vm in state.renewed_ms:
        return state.renewed_ms
    return {
        name: read_ms
        for name, read_ms in state.renewed_ms.items()
        if now_ms - read_ms <= leases.KNOWN_MS
    }


def _apply_claim(
    state: leases.OwnershipState,
    offset: int,
    record: records.ClaimRecord,
    now_ms: int,
) -> leases.OwnershipState:
    won = {
        endpoint: leases.Ownership(
            record.vm, record.incarnation, offset, now_ms
        )
        for endpoint in record.endpoints
        if _is_claimable(state, endpoint, record)
    }
    return attrs.evolve(state, owners={**state.owners, **won})


def _is_claimable(
    state: leases.OwnershipState, endpoint: str, record: records.ClaimRecord
) -> bool:
    owner = state.owners.get(endpoint)
    if owner is None:
        return True
    if owner.incarnation == record.incarnation:
        return False
    stated = record.lapsed.get(owner.incarnation)
    newest = leases.get_sequence(state, owner.incarnation)
    return stated is not None and stated >= newest


def _apply_release(
    state: leases.OwnershipState, record: records.ReleaseRecord
) -> leases.OwnershipState:
    kept = {
        endpoint: owner
        for endpoint, owner in state.owners.items()
        if owner.incarnation != record.incarnation
        or owner.fencing != record.endpoints.get(endpoint)
    }
    return attrs.evolve(state, owners=kept)


def _apply_holding(
    state: leases.OwnershipState,
    offset: int,
    record: records.HoldingRecord,
    now_ms: int,
) -> leases.OwnershipState:
    if record.through < max(state.changed_offset, state.retained.copy):
        return state
    if not state.complete:
        state = _start_from(state, record, now_ms)
    # Leases of incarnations without endpoints would pile up with restarts.
    # Each replay drops them here, since whether a claim is effective depends
    # on them.
    holders = {owner.incarnation for owner in state.owners.values()}
    kept = {
        incarnation: lease
        for incarnation, lease in state.leases.items()
        if incarnation in holders
    }
    retained = attrs.evolve(
        state.retained, copy=record.through, copy_ms=now_ms
    )
    return attrs.evolve(state, leases=kept, retained=retained, complete=True)


def _start_from(
    state: leases.OwnershipState, record: records.HoldingRecord, now_ms: int
) -> leases.OwnershipState:
    owners = {
        endpoint: leases.Ownership(holder.vm, incarnation, fencing, now_ms)
        for incarnation, holder in record.holders.items()
        for endpoint, fencing in holder.endpoints.items()
    }
    stated = {
        incarnation: leases.Lease(holder.vm, holder.sequence, now_ms)
        for incarnation, holder in record.holders.items()
        if holder.sequence > leases.get_sequence(state, incarnation)
    }
    return attrs.evolve(
        state, owners=owners, leases={**state.leases, **stated}
    )


def _start_empty(
    state: leases.OwnershipState, offset: int, now_ms: int
) -> leases.OwnershipState:
    retained = attrs.evolve(state.retained, copy=offset, copy_ms=now_ms)
    return attrs.evolve(
        state,
        owners={},
        leases={},
        complete=True,
        retained=retained,
        draining=frozenset(),
        given_up=frozenset(),
    )


def _note_own(
    state: leases.OwnershipState, record: Any, incarnation: str, now_ms: int
) -> leases.OwnershipState:
    """Return the state after a record of this VM was read back."""
    if getattr(record, "incarnation", None) != incarnation:
        return state
    match record:
        case records.LeaseRecord() if record.sequence in state.sent:
            held_ms = state.sent[record.sequence] + leases.LEASE_MS
            lapsed = now_ms >= state.held_until_ms
            return attrs.evolve(
                state,
                held_until_ms=max(state.held_until_ms, held_ms),
                held_since_ms=now_ms if lapsed else state.held_since_ms,
            )
        case records.ReleaseRecord():
            gone = frozenset(record.endpoints)
            return attrs.evolve(
                state,
                given_up=state.given_up - gone,
                draining=state.draining - gone,
            )
    return state


def note_sent(
    state: leases.OwnershipState, sequence: int, now_ms: int
) -> leases.OwnershipState:
    """Return the state before a lease is appended.

    The lease counts from before the append, so that it ends here before any
    reader of the record sees it end.
    """
    young = {
        other: sent_ms
        for other, sent_ms in state.sent.items()
        if now_ms - sent_ms < leases.LEASE_MS
    }
    return attrs.evolve(state, sent={**young, sequence: now_ms})
