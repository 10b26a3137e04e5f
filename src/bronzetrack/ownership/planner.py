"""Which endpoints a VM should claim."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.core import rendezvous
from bronzetrack.ownership import leases


@attrs.frozen
class ClaimPlan:
    """Endpoints to claim and the leases that are stated as lapsed."""

    endpoints: tuple[str, ...] = ()
    lapsed: Mapping[str, int] = attrs.field(factory=dict)


def plan_claims(
    state: leases.OwnershipState,
    endpoints: Mapping[str, inventories.Endpoint],
    vm_zones: Mapping[str, str],
    vm: str,
    now_ms: int,
) -> ClaimPlan:
    """Return the claims that this VM should make now.

    :param vm_zones: availability zone of every serving VM, this one included
    """
    wanted = [
        name
        for name, endpoint in sorted(endpoints.items())
        if _is_free(state, name, now_ms)
        and choose_owner(name, endpoint, vm_zones) == vm
    ]
    return ClaimPlan(tuple(wanted), _state_lapsed(state, wanted))


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


def _is_free(state: leases.OwnershipState, endpoint: str, now_ms: int) -> bool:
    owner = state.owners.get(endpoint)
    return owner is None or leases.is_lapsed(state, owner.incarnation, now_ms)


def _state_lapsed(
    state: leases.OwnershipState, endpoints: Iterable[str]
) -> dict[str, int]:
    holders = {
        state.owners[name].incarnation
        for name in endpoints
        if name in state.owners
    }
    return {
        holder: (
            state.leases[holder].sequence if holder in state.leases else -1
        )
        for holder in sorted(holders)
    }
