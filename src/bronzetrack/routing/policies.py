"""Routing policies, which select the endpoint for a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from bronzetrack.core import registry
from bronzetrack.core import rendezvous
from bronzetrack.routing import candidates

Policy = Callable[[Sequence[candidates.Candidate], str], candidates.Candidate]

POLICIES: registry.Registry[Policy] = registry.Registry("routing policies")

# Costs are in units of one full batch. A cold endpoint is selected only if the
# warm ones have two more batches of load, since loading an adapter waits for
# the weight store.
COLD_COST = 2.0
# Cost per position in the copy order, which is the rendezvous ranking of the
# endpoints for an adapter. It makes all VMs choose the same endpoint for the
# next copy. Without it, each VM whose warm endpoints were full loaded another
# copy; with 0.3 the first copies are overloaded.
COPY_ORDER_COST = 0.1
SLOW_COST = 4.0
# Within a second after a summary, 7 VMs sent up to 60 more requests to one
# endpoint that the summary showed as idle. A half-life of 1 s allowed more of
# these requests than 0.3 s.
REPORT_HALF_LIFE_MS = 300
# Upper limit of the number of VMs in the estimated load. With more VMs, one
# request of this VM does not predict how many the others sent.
MAX_SENDERS = 16
OTHER_ZONE_COST = 0.06


@POLICIES.register("locality")
def choose_by_hash(
    items: Sequence[candidates.Candidate], adapter: str
) -> candidates.Candidate:
    """Select the endpoint by the rendezvous hash of the adapter only."""
    ranked = rendezvous.rank_nodes(adapter, [item.endpoint for item in items])
    return next(item for item in items if item.endpoint == ranked[0])


@POLICIES.register("least_load")
def choose_least_loaded(
    items: Sequence[candidates.Candidate], adapter: str
) -> candidates.Candidate:
    """Select the endpoint with the shortest queue in the last summary."""
    return min(items, key=lambda item: item.queued - item.free_slots)


@POLICIES.register("balanced")
def choose_balanced(
    items: Sequence[candidates.Candidate], adapter: str
) -> candidates.Candidate:
    """Select the endpoint with the lowest expected cost.

    The cost is the sum of the expected load and the expected wait for loading
    the adapter. The copy order is needed only for cold endpoints and to break
    ties. Since it takes a digest per endpoint, it is not computed if one warm
    endpoint costs less than all others, even with each cold endpoint at the
    first position of the copy order.
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
    order = {name: position for position, name in enumerate(ranked)}
    return min(
        compared,
        key=lambda item: (
            _estimate_cost(item, order[item.endpoint]),
            order[item.endpoint],
        ),
    )


def estimate_load(item: candidates.Candidate) -> float:
    """Return the estimated number of requests at an endpoint.

    The older the summary, the higher is the weight of the requests that this
    VM sent to the endpoint, on the assumption that every other VM sent as
    many.
    """
    reported = item.slots - item.free_slots + item.queued
    weight = 0.5 ** (item.report_age_ms / REPORT_HALF_LIFE_MS)
    senders = min(item.senders, MAX_SENDERS)
    return (
        weight * max(reported, item.in_flight)
        + (1 - weight) * item.in_flight * senders
    )


def _estimate_cost(item: candidates.Candidate, position: int = 0) -> float:
    """Return the cost of an endpoint in units of one full batch.

    :param position: position of the endpoint in the copy order of the adapter
    """
    cost = estimate_load(item) / max(1, item.slots)
    if not item.warm:
        cost += COLD_COST + COPY_ORDER_COST * position
    if item.slow:
        cost += SLOW_COST
    if not item.near:
        cost += OTHER_ZONE_COST
    return cost
