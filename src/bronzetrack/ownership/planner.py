"""What a VM appends to the ownership stream next."""

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
class Site:
    """What the planner knows of its surroundings.

    :param vm_zones: availability zone of every VM that may own endpoints
    :param idle: own endpoints without work and without an order on its way
    :param stopping: whether this VM gives up everything
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
    """Return the VM that should own an endpoint, near it if possible."""
    near = [
        vm
        for vm, zone in vm_zones.items()
        if zone == endpoint.availability_zone
    ]
    ranked = rendezvous.rank_nodes(name, near or vm_zones)
    return ranked[0] if ranked else None


def plan_claim(
    state: leases.OwnershipState, site: Site, now_ms: int
) -> records.ClaimRecord | None:
    """Return the claim that this VM should make now."""
    if site.stopping:
        return None
    wanted = [
        name
        for name, endpoint in sorted(site.endpoints.items())
        if _is_free(state, name, site.incarnation, now_ms)
        and choose_owner(name, endpoint, site.vm_zones) == site.vm
    ]
    if not wanted:
        return None
    holders = {
        state.owners[name].incarnation
        for name in wanted
        if name in state.owners
    }
    lapsed = {
        holder: leases.get_sequence(state, holder)
        for holder in sorted(holders)
    }
    return records.ClaimRecord(
        site.vm, site.incarnation, tuple(wanted), lapsed
    )


def _is_free(
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
    state: leases.OwnershipState, site: Site
) -> leases.OwnershipState:
    """Return the state with the endpoints that drain and are given up.

    An endpoint moves when it is idle. At most one that has work drains at a
    time, unless the VM stops, so that a joining VM takes little capacity out
    of service.
    """
    owned = leases.list_owned(state, site.incarnation)
    moving = [name for name in owned if _is_misplaced(name, site)]
    given_up = {name for name in moving if name in site.idle}
    busy = [name for name in moving if name not in given_up]
    # The order keeps an endpoint that drains already in first place.
    busy.sort(key=lambda name: (name not in state.draining, name))
    draining = busy if site.stopping else busy[:1]
    still_owned = {
        name
        for name in state.given_up
        if name in state.owners
        and state.owners[name].incarnation == site.incarnation
    }
    return attrs.evolve(
        state,
        draining=frozenset(draining),
        given_up=frozenset(given_up | still_owned),
    )


def _is_misplaced(name: str, site: Site) -> bool:
    if site.stopping or name not in site.endpoints:
        return True
    owner = choose_owner(name, site.endpoints[name], site.vm_zones)
    return owner is not None and owner != site.vm


def plan_release(
    state: leases.OwnershipState, site: Site
) -> records.ReleaseRecord | None:
    """Return the release of what was given up and is not released yet."""
    endpoints = {
        name: state.owners[name].fencing
        for name in sorted(state.given_up)
        if name in state.owners
        and state.owners[name].incarnation == site.incarnation
    }
    if not endpoints:
        return None
    return records.ReleaseRecord(site.vm, site.incarnation, endpoints)


def plan_copy(
    state: leases.OwnershipState, site: Site, now_ms: int
) -> records.HoldingRecord | records.ResetRecord | None:
    """Return the record from which later replays can start, if it is due."""
    if not state.complete:
        return _plan_reset(state, now_ms)
    if not state.caught_up:
        return None
    ranked = sorted(
        {owner.incarnation for owner in state.owners.values()}
        | {site.incarnation}
    )
    rank = ranked.index(site.incarnation)
    if not retention.is_copy_due(state.retained, rank, now_ms):
        return None
    return make_holding(state)


def _plan_reset(
    state: leases.OwnershipState, now_ms: int
) -> records.ResetRecord | None:
    # A VM whose replay is complete answers a truncation with a holding
    # record, and VMs renew their leases only when their replay is complete.
    # A stream that stays quiet therefore has no holder.
    at_end = state.next_offset >= state.retained.end
    if not at_end or now_ms - state.read_ms <= leases.QUIET_MS:
        return None
    return records.ResetRecord(state.next_offset)


def make_holding(state: leases.OwnershipState) -> records.HoldingRecord:
    """Return the record that repeats all claims in effect."""
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
