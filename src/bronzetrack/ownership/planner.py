"""Planning of the records that a VM appends to the ownership stream."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import Any

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.core import rendezvous
from bronzetrack.core import retention
from bronzetrack.ownership import leases
from bronzetrack.ownership import records


@attrs.frozen
class PlannerInput:
    """Input of the planner: this VM, the endpoints and the candidate VMs.

    :param vm: name of this VM
    :param incarnation: incarnation of this run of the daemon
    :param endpoints: every endpoint of the inventory by name
    :param vm_zones: availability zone of every VM that may own endpoints
    :param idle: own endpoints without work and without an order in flight
    :param stopping: whether this VM is to release all of its endpoints
    """

    vm: str
    incarnation: str
    endpoints: Mapping[str, inventories.Endpoint]
    vm_zones: Mapping[str, str]
    idle: Collection[str] = ()
    stopping: bool = False


def choose_owner(
    name: str, endpoint: inventories.Endpoint, vm_zones: Mapping[str, str]
) -> str | None:
    """Return the VM that should own an endpoint.

    VMs in the availability zone of the endpoint are preferred.

    :returns: None if there is no candidate VM
    """
    same_zone = [
        vm
        for vm, zone in vm_zones.items()
        if zone == endpoint.availability_zone
    ]
    ranked = rendezvous.rank_nodes(name, same_zone or vm_zones)
    return ranked[0] if ranked else None


def plan_claim(
    state: leases.OwnershipState, planner_input: PlannerInput, now_ms: int
) -> records.ClaimRecord | None:
    """Return the claim that this VM should append now, None if there is none.

    This VM claims each endpoint without a valid owner for which rendezvous
    hashing chooses this VM.
    """
    if planner_input.stopping:
        return None
    claimable = [
        name
        for name, endpoint in sorted(planner_input.endpoints.items())
        if _can_claim(state, name, planner_input.incarnation, now_ms)
        and choose_owner(name, endpoint, planner_input.vm_zones)
        == planner_input.vm
    ]
    if not claimable:
        return None
    holders = {
        state.owners[name].incarnation
        for name in claimable
        if name in state.owners
    }
    lapsed = {
        holder: leases.get_sequence(state, holder)
        for holder in sorted(holders)
    }
    return records.ClaimRecord(
        planner_input.vm, planner_input.incarnation, tuple(claimable), lapsed
    )


def _can_claim(
    state: leases.OwnershipState,
    endpoint: str,
    incarnation: str,
    now_ms: int,
) -> bool:
    owner = state.owners.get(endpoint)
    if owner is None:
        return True
    if owner.incarnation == incarnation:
        return False
    return leases.is_lapsed(state, endpoint, now_ms)


def plan_handover(
    state: leases.OwnershipState, planner_input: PlannerInput
) -> leases.OwnershipState:
    """Return the state with updated sets of draining and given-up endpoints.

    An endpoint is given up once it is idle. At most one busy endpoint drains
    at a time unless this VM is stopping, so that a joining VM takes little
    capacity out of service.
    """
    owned = leases.list_owned(state, planner_input.incarnation)
    moving = [name for name in owned if _is_misplaced(name, planner_input)]
    given_up = {name for name in moving if name in planner_input.idle}
    busy = [name for name in moving if name not in given_up]
    # Endpoints that are already draining sort first, so that they continue.
    busy.sort(key=lambda name: (name not in state.draining, name))
    draining = busy if planner_input.stopping else busy[:1]
    unreleased = {
        name
        for name in state.given_up
        if name in state.owners
        and state.owners[name].incarnation == planner_input.incarnation
    }
    return attrs.evolve(
        state,
        draining=frozenset(draining),
        given_up=frozenset(given_up | unreleased),
    )


def _is_misplaced(name: str, planner_input: PlannerInput) -> bool:
    if planner_input.stopping or name not in planner_input.endpoints:
        return True
    owner = choose_owner(
        name, planner_input.endpoints[name], planner_input.vm_zones
    )
    return owner is not None and owner != planner_input.vm


def plan_release(
    state: leases.OwnershipState, planner_input: PlannerInput
) -> records.ReleaseRecord | None:
    """Return the release of the given-up endpoints that this VM still owns.

    :returns: None if there is nothing to release
    """
    endpoints = {
        name: state.owners[name].fencing
        for name in sorted(state.given_up)
        if name in state.owners
        and state.owners[name].incarnation == planner_input.incarnation
    }
    if not endpoints:
        return None
    return records.ReleaseRecord(
        planner_input.vm, planner_input.incarnation, endpoints
    )


def plan_snapshot(
    state: leases.OwnershipState, planner_input: PlannerInput, now_ms: int
) -> records.HoldingRecord | records.ResetRecord | None:
    """Return the record from which later replays can start, if one is due."""
    if not state.complete:
        return _plan_reset(state, now_ms)
    if not state.caught_up:
        return None
    ranked = sorted(
        {owner.incarnation for owner in state.owners.values()}
        | {planner_input.incarnation}
    )
    rank = ranked.index(planner_input.incarnation)
    if not retention.is_snapshot_due(state.retained, rank, now_ms):
        return None
    return make_holding(state)


def _plan_reset(
    state: leases.OwnershipState, now_ms: int
) -> records.ResetRecord | None:
    # After a truncation, a VM with a complete replay appends a holding record.
    # VMs renew their leases only while their replay is complete. A stream
    # without new records therefore has no holder.
    at_end = state.next_offset >= state.retained.end
    if not at_end or now_ms - state.read_ms <= leases.QUIET_PERIOD_MS:
        return None
    return records.ResetRecord(state.next_offset)


def make_holding(state: leases.OwnershipState) -> records.HoldingRecord:
    """Return a holding record with all claims in effect."""
    claims: dict[str, dict[str, Any]] = {}
    vms: dict[str, str] = {}
    for name, owner in sorted(state.owners.items()):
        claims.setdefault(owner.incarnation, {})[name] = owner.fencing
        vms[owner.incarnation] = owner.vm
    return records.HoldingRecord(
        state.next_offset,
        {
            incarnation: records.Holder(
                vms[incarnation],
                leases.get_sequence(state, incarnation),
                endpoints,
            )
            for incarnation, endpoints in claims.items()
        },
    )
