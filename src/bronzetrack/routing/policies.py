"""Policies that choose the endpoint of a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from bronzetrack.core import registry
from bronzetrack.core import rendezvous
from bronzetrack.routing import candidates

Policy = Callable[[Sequence[candidates.Candidate], str], candidates.Candidate]

POLICIES: registry.Registry[Policy] = registry.Registry("routing policies")

# Costs are in units of one full batch. A cold endpoint is chosen when the
# warm ones have two batches more, since a load waits for the weight store.
COLD_COST = 2.0
# Makes all VMs copy an adapter to the same next endpoint. Without it, each
# overflow loaded another copy; with 0.3 the first copies are overloaded.
COPY_ORDER_COST = 0.1
SLOW_COST = 4.0
# Within a second after a summary, 7 VMs sent up to 60 requests more to one
# endpoint that it showed as idle. 1 s let more of them pass than 0.3 s.
REPORT_HALF_LIFE_MS = 300
# Among more VMs than this, one request of this VM says too little.
MOST_SENDERS = 16
FAR_COST = 0.06


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
    """Choose the lowest sum of expected load and expected load stall.

    The order of copies is needed only for cold endpoints and to decide
    between equals. It takes a digest for each endpoint, so that it is left
    out where a warm endpoint costs less than any cold one at the first place.
    """
    costs = [_estimate_cost(item) for item in items]
    lowest = min(costs)
    best = [item for item, cost in zip(items, costs) if cost == lowest]
    if len(best) == 1 and best[0].warm:
        return best[0]
    compared = best if all(item.warm for item in best) else items
    ranked = rendezvous.rank_nodes(
        adapter, [item.endpoint for item in compared]
    )
    order = {name: place for place, name in enumerate(ranked)}
    return min(
        compared,
        key=lambda item: (
            _estimate_cost(item, order[item.endpoint]),
            order[item.endpoint],
        ),
    )


def estimate_load(item: candidates.Candidate) -> float:
    """Return the requests that are probably at an endpoint now.

    The older the summary, the more counts what this VM sent there, with the
    assumption that every other VM sent as much.
    """
    reported = item.slots - item.free_slots + item.queued
    weight = 0.5 ** (item.report_age_ms / REPORT_HALF_LIFE_MS)
    senders = min(item.senders, MOST_SENDERS)
    return (
        weight * max(reported, item.in_flight)
        + (1 - weight) * item.in_flight * senders
    )


def _estimate_cost(item: candidates.Candidate, place: int = 0) -> float:
    """Return the cost of an endpoint.

    :param place: of the endpoint in the order of copies of the adapter
    """
    cost = estimate_load(item) / max(1, item.slots)
    if not item.warm:
        cost += COLD_COST + COPY_ORDER_COST * place
    if item.slow:
        cost += SLOW_COST
    if not item.near:
        cost += FAR_COST
    return cost
