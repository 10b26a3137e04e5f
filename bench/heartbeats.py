"""What VMs learn of each other and of the speed of their endpoints.

It follows controllers.membership and controllers.placements.
"""

from __future__ import annotations

import attrs

from bench import entry as entries
from bench import permits
from bench import site as sites
from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import placement
from bronzetrack.limits import quotas as quota_views

HEARTBEAT_MS = 1_000


def beat(site: sites.Site, vm: sites.Vm, after_ms: float) -> None:
    """Send a heartbeat after some time and then regularly."""

    def act() -> None:
        vm.heartbeat_ms = site.timeline.now_ms
        vm.reported = report(site, vm)
        permits.refresh(site, vm)
        vm.reported_usage = dict(vm.usage)
        _place(site, vm)
        beat(site, vm, HEARTBEAT_MS)

    site.call_later(after_ms, act)


def report(site: sites.Site, vm: sites.Vm) -> dict:
    """Return the summaries of all endpoints of a VM."""
    return {name: entries.sum_up(site, name) for name in site.list_owned(vm)}


def watch(site: sites.Site, name: str) -> None:
    """Tell the owner of the speed of the streams at an endpoint."""
    engine = site.engines[name]
    busy_ms, progress = engine.busy_ms, engine.progress

    def act() -> None:
        engine.advance()
        made = engine.progress - progress
        if made > 0:
            queue = site.queues[name]
            seen = paces.observe(
                queue.pace,
                (engine.busy_ms - busy_ms) / made,
                int(site.timeline.now_ms),
            )
            site.queues[name] = attrs.evolve(queue, pace=seen)
        watch(site, name)

    site.call_later(paces.PACE_REPORT_INTERVAL_MS, act)


def _place(site: sites.Site, vm: sites.Vm) -> None:
    """Decide which adapters the endpoints of a VM should hold."""
    if site.is_naive:
        return
    vm.quotas = _compute_quota_view(site, vm)
    demand = placement.count_demand(vm.recent)
    normal = [
        name
        for name, owner in site.owners.items()
        if not owner.reported[name].slow
    ]
    for name in site.list_owned(vm):
        elsewhere = frozenset(
            adapter
            for peer in site.vms.values()
            for other, summary in peer.reported.items()
            if other != name
            for adapter in summary.warm
        )
        vm.placements[name] = placement.Placement(
            placement.list_wanted(name, normal, demand, elsewhere),
            elsewhere,
            tuple(
                _get_pace(site, vm, other)
                for other in site.endpoints
                if other != name
            ),
        )


def _compute_quota_view(
    site: sites.Site, vm: sites.Vm
) -> quota_views.QuotaView:
    loaded = {
        other.name: [
            adapter
            for summary in other.reported.values()
            for adapter in summary.warm
        ]
        for other in site.vms.values()
    }
    loaded[vm.name] = [
        adapter
        for name in site.list_owned(vm)
        for adapter in site.queues[name].residents
    ]
    return quota_views.compute_quota_view(
        site.rules.members, loaded, site.members, vm.name
    )


def _get_pace(site: sites.Site, vm: sites.Vm, name: str) -> float:
    owner = site.owners[name]
    if owner is vm:
        return site.queues[name].pace.chunk_ms
    return owner.reported[name].chunk_ms
