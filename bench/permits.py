"""Distributes weight-store tokens among VMs; mirrors controllers.permits."""

from __future__ import annotations

from collections.abc import Callable

from bench import site as sites
from bench import workloads
from bronzetrack.dispatch import state as states
from bronzetrack.limits import messages
from bronzetrack.limits import transfers
from bronzetrack.limits import usage

EXPECTED_VMS = workloads.VMS + 1


def refresh(site: sites.Site, vm: sites.Vm) -> None:
    """Update the tokens and the usage of a VM to the current time."""
    now_ms = int(site.timeline.now_ms)
    share = site.workload.loads_per_s / EXPECTED_VMS
    bucket = vm.permits.bucket.refill(share, max(1.0, share), now_ms)
    vm.permits = vm.permits.replace_bucket(bucket)
    vm.usage = usage.decay(vm.usage, now_ms - int(vm.used_ms))
    vm.used_ms = site.timeline.now_ms


def count_free_loads(site: sites.Site, vm: sites.Vm) -> int:
    """Return how many loads may start in addition to those in flight."""
    loading = sum(
        resident.phase is states.ResidentPhase.LOADING
        for name in site.list_owned(vm)
        for resident in site.queues[name].residents.values()
    )
    return max(0, site.workload.store_limit // EXPECTED_VMS - loading)


def request_tokens(
    site: sites.Site, vm: sites.Vm, advance: Callable[[str], None]
) -> None:
    """Request tokens from a peer if the VM lacks some.

    :param advance: called with each endpoint of the VM once a peer answered
    """
    if site.is_naive:
        return
    permit_shortfall = sum(plan.permit_shortfall for plan in vm.plans.values())
    vm.needed = (
        min(permit_shortfall, count_free_loads(site, vm))
        if permit_shortfall
        else 0
    )
    peers = [name for name in site.vms if name != vm.name]
    vm.permits, addressed = transfers.request_tokens(
        vm.permits, vm.name, peers, vm.needed, int(site.timeline.now_ms)
    )
    if addressed is None:
        return
    peer = site.vms[addressed.peer]

    def receive() -> None:
        refresh(site, peer)
        peer.permits, answer = transfers.grant_tokens(
            peer.permits, addressed.request, peer.needed
        )
        site.call_later(sites.HOP_MS, lambda: accept_grant(answer))

    def accept_grant(answer: messages.TokenGrant) -> None:
        vm.permits = transfers.accept_grant(vm.permits, answer)
        for name in site.list_owned(vm):
            advance(name)

    site.call_later(sites.HOP_MS, receive)
