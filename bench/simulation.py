"""Drives the decision code of the daemons in simulated time."""

from __future__ import annotations

import functools
import random

import attrs

from bench import entry as entries
from bench import fakes
from bench import heartbeats
from bench import owner as owners
from bench import site as sites
from bench import warmup
from bench import workloads
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import rendezvous
from bronzetrack.dispatch import state as states
from bronzetrack.limits import tokens
from bronzetrack.limits import transfers

SLOWED_PERIOD_MS = (8_000, 18_000)
SLOW_FACTOR = 5.0
# More than all adapter slots together.
NO_QUOTA = 10_000


def make_site(
    workload: workloads.Workload,
    policy: str,
    arrivals: list[workloads.Arrival],
    seed: int,
    slowed: bool = False,
    warm_adapters: int = NO_QUOTA,
) -> sites.Site:
    """Return a run of one policy over some arrivals, ready to start.

    :param slowed: whether a third of the engines is slow for some time
    :param warm_adapters: warm quota of each member, in adapters
    """
    timeline = fakes.Timeline()
    endpoints = workload.list_endpoints()
    vms = _make_vms()
    site = sites.Site(
        workload=workload,
        policy=policy,
        rules=_make_rules(workload, policy, warm_adapters),
        rng=random.Random(seed),
        timeline=timeline,
        endpoints=endpoints,
        engines={name: fakes.Engine(timeline) for name in endpoints},
        store=fakes.Store(
            timeline,
            workload.loads_per_s,
            workload.burst,
            workload.store_limit,
        ),
        outcomes=[sites.Outcome(item) for item in arrivals],
        vms=vms,
        owners={
            name: _choose_owner(name, endpoint.availability_zone, vms)
            for name, endpoint in endpoints.items()
        },
        queues={name: states.EndpointQueue(boot="1") for name in endpoints},
    )
    owner_role = owners.OwnerRole(site)
    entry_role = entries.EntryRole(site, owner_role)
    warmup.warm_up(site, entry_role, seed)
    site.members = workloads.list_members(workload, seed)
    for vm in vms.values():
        vm.reported = heartbeats.summarize_owned(site, vm)
    for index, vm in enumerate(vms.values()):
        phase = index / len(vms)
        heartbeats.schedule_heartbeats(
            site, vm, phase * heartbeats.HEARTBEAT_MS
        )
        owner_role.schedule_steps(vm, phase * owners.STEP_MS)
    for name in endpoints:
        heartbeats.schedule_samples(site, name)
    entry_role.schedule()
    if slowed:
        _slow_some(site)
    return site


def _make_vms() -> dict[str, sites.Vm]:
    return {
        f"vm-{index}": sites.Vm(
            f"vm-{index}",
            workloads.ZONES[index % len(workloads.ZONES)],
            transfers.Permits(tokens.TokenBucket(1.0)),
        )
        for index in range(workloads.VMS)
    }


def _make_rules(
    workload: workloads.Workload, policy: str, warm_adapters: int
) -> rule_sets.Rules:
    if policy in sites.NAIVE_POLICIES:
        classes = {
            name: attrs.evolve(rule, rank=0, slot_share=1.0)
            for name, rule in workload.classes.items()
        }
        return rule_sets.Rules(classes=classes)
    members = {
        name: rule_sets.MemberRule(weight, warm_adapters)
        for name, weight in workloads.MEMBERS.items()
    }
    return rule_sets.Rules(members, workload.classes)


def _choose_owner(name: str, zone: str, vms: dict[str, sites.Vm]) -> sites.Vm:
    same_zone = [vm.name for vm in vms.values() if vm.zone == zone]
    return vms[rendezvous.rank_nodes(name, same_zone)[0]]


def _slow_some(site: sites.Site) -> None:
    for name in sorted(site.engines)[:: len(workloads.ZONES)]:
        for at_ms, factor in zip(SLOWED_PERIOD_MS, (SLOW_FACTOR, 1.0)):
            site.timeline.call_at(
                at_ms,
                functools.partial(site.engines[name].set_slowdown, factor),
            )


def restart(site: sites.Site, name: str) -> None:
    """Restart an engine without its adapters and its running requests.

    The callers of the running requests get an error, and the requests are
    not retried. Loads in progress go on.
    """
    engine, queue = site.engines[name], site.queues[name]
    for attempt, item in queue.running.items():
        engine.cancel(attempt)
        site.outcomes[int(attempt)].refusal = "endpoint_crashed"
        site.vms[item.sender].in_flight[name] -= 1
    site.queues[name] = attrs.evolve(
        queue,
        boot=f"{queue.boot}+",
        running={},
        residents={
            adapter: resident
            for adapter, resident in queue.residents.items()
            if resident.phase is states.ResidentPhase.LOADING
        },
    )
