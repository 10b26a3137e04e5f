"""Fills the endpoints with the adapters of simulated earlier requests."""

from __future__ import annotations

import collections

import attrs

from bench import entry as entries
from bench import site as sites
from bench import workloads
from bronzetrack.dispatch import state as states
from bronzetrack.membership import messages as membership
from bronzetrack.routing import candidates

WARMUP_REQUESTS = 3_000


def warm_up(
    site: sites.Site, entry_role: entries.EntryRole, seed: int
) -> None:
    """Fill the adapter slots by routing with the policy of the run.

    Each endpoint keeps its most recently used adapters.
    """
    names = workloads.list_names(site.workload, seed)
    vms = list(site.vms)
    recent = {
        name: collections.OrderedDict[str, None]() for name in site.endpoints
    }
    for rank in workloads.draw_ranks(site.rng, WARMUP_REQUESTS):
        adapter = names[rank]
        received_summaries = {
            name: candidates.ReceivedSummary(
                site.owners[name].name,
                membership.EndpointSummary(
                    site.rng.randrange(workloads.ENGINE_SLOTS),
                    warm=tuple(loaded),
                ),
                0,
            )
            for name, loaded in recent.items()
        }
        entry = site.vms[site.rng.choice(vms)]
        chosen = entry_role.choose_endpoint(
            entry, received_summaries, adapter, set()
        )
        loaded = recent[chosen.endpoint]
        loaded[adapter] = None
        loaded.move_to_end(adapter)
        if len(loaded) > site.workload.adapter_slots:
            loaded.popitem(last=False)
    for name, loaded in recent.items():
        site.queues[name] = attrs.evolve(
            site.queues[name],
            residents={
                adapter: states.Resident(
                    states.ResidentPhase.READY, position - len(loaded)
                )
                for position, adapter in enumerate(loaded)
            },
        )
