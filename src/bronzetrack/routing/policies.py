"""Policies that choose the endpoint of a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from bronzetrack.core import registry
from bronzetrack.core import rendezvous
from bronzetrack.routing import candidates

Policy = Callable[[Sequence[candidates.Candidate], str], candidates.Candidate]

POLICIES: registry.Registry[Policy] = registry.Registry("routing policies")

# A cold endpoint has to be idler than a warm one by this part of its slots,
# since a load takes about as long as a short answer.
LOAD_COST_SLOTS = 4.0
SLOW_COST_SLOTS = 8.0
FAR_COST_SLOTS = 0.25


@POLICIES.register("locality")
def choose_local(
    items: Sequence[candidates.Candidate], adapter: str
) -> candidates.Candidate:
    """Choose by rendezvous hash of the adapter alone."""
    ranked = rendezvous.rank_nodes(adapter, [item.endpoint for item in items])
    return next(item for item in items if item.endpoint == ranked[0])


@POLICIES.register("least_load")
def choose_least_loaded(
    items: Sequence[candidates.Candidate], adapter: str
) -> candidates.Candidate:
    """Choose the endpoint with the shortest queue in the last report."""
    return min(items, key=lambda item: item.queued - item.free_slots)


@POLICIES.register("balanced")
def choose_balanced(
    items: Sequence[candidates.Candidate], adapter: str
) -> candidates.Candidate:
    """Choose the lowest sum of expected load and expected load stall."""
    ranked = rendezvous.rank_nodes(adapter, [item.endpoint for item in items])
    order = {name: place for place, name in enumerate(ranked)}
    return min(
        items, key=lambda item: (_estimate_cost(item), order[item.endpoint])
    )


def _estimate_cost(item: candidates.Candidate) -> float:
    reported = item.slots - item.free_slots + item.queued
    load = max(reported, item.in_flight)
    cost = load * LOAD_COST_SLOTS / max(1, item.slots)
    if not item.warm:
        cost += LOAD_COST_SLOTS
    if item.slow:
        cost += SLOW_COST_SLOTS
    if not item.near:
        cost += FAR_COST_SLOTS
    return cost
