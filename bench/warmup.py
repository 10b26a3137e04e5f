"""The adapters that earlier requests left at the endpoints."""

from __future__ import annotations

import collections

import attrs

from bench import entry as entries
from bench import site as sites
from bench import workloads
from bronzetrack.dispatch import state as states
from bronzetrack.membership import messages as membership
from bronzetrack.routing import candidates

HISTORY = 3_000


def warm_up(
    site: sites.Site, entry_role: entries.EntryRole, seed: int
) -> None:
    """Fill the adapter slots by the policy of the run."""
    names = workloads.list_names(site.workload, seed)
    vms = list(site.vms)
    recent = {
        name: collections.OrderedDict[str, None]() for name in site.endpoints
    }
    for rank in workloads.draw_ranks(site.chance, HISTORY):
        adapter = names[rank]
        received_summaries = {
            name: candidates.ReceivedSummary(
                site.owners[name].name,
                membership.EndpointSummary(
                    site.chance.randrange(workloads.ENGINE_SLOTS),
                    warm=tuple(loaded),
                ),
                0,
            )
            for name, loaded in recent.items()
        }
        entry = site.vms[site.chance.choice(vms)]
        chosen = entry_role.pick(entry, received_summaries, adapter, set())
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
                    states.ResidentPhase.READY, place - len(loaded)
                )
                for place, adapter in enumerate(loaded)
            },
        )
