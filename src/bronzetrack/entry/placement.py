"""Choice of the endpoint for a request.

Load pattern: many short requests at a few small services, and streams whose
adapters are each held by one or a few engines. The choice counts what all VMs
have in progress, and turns away from endpoints that failed or were slow.
"""

from __future__ import annotations

from collections.abc import Mapping
import math

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry import traffic as traffic_tables

# A failure seen lately weighs as much as this share of a full endpoint.
FAILURE_WEIGHT = 0.5
# An endpoint of the own availability zone may be fuller by this share.
ZONE_WEIGHT = 0.1
# Engines share prompts and tokens among all their requests, so that each is
# slow long before its last slot is taken. Another copy of an adapter is asked
# for when each engine that holds it has this much more to do than the mean.
COPY_FACTOR = 2.0
# Fewer requests than this in progress are no load worth a copy.
COPY_REQUESTS = 10


@attrs.frozen
class View:
    """What a choice reads.

    :param peers_active: requests of other VMs in progress, by endpoint
    :param zone: availability zone of this VM
    :param most_own: requests that this VM may have in progress at one
        endpoint, each on a connection of its own
    """

    traffic: traffic_tables.TrafficTable
    peers_active: Mapping[str, int]
    zone: str
    now: float
    most_own: float = math.inf

    def count_active(self, endpoint: endpoints.Endpoint) -> int:
        """Return the requests of all VMs in progress at an endpoint."""
        own = self.traffic.by_identity.get(endpoint.identity)
        return (own.active if own else 0) + self.peers_active.get(
            endpoint.identity, 0
        )

    def is_reachable(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint takes another connection, probably."""
        own = self.traffic.by_identity.get(endpoint.identity)
        if own is None:
            return True
        return own.unreachable_until <= self.now and own.active < self.most_own

    def measure_load(self, endpoint: endpoints.Endpoint) -> float:
        """Return how unattractive an endpoint is; 1 is a full one."""
        capacity = max(1, endpoint.capacity)
        load = (self.count_active(endpoint) + 1) / capacity
        own = self.traffic.by_identity.get(endpoint.identity)
        if own is not None:
            load += FAILURE_WEIGHT * own.measure_failures(self.now)
        if endpoint.zone != self.zone:
            load += ZONE_WEIGHT
        return load


def choose_endpoint(
    candidates: list[endpoints.Endpoint],
    tried: frozenset[str],
    view: View,
) -> endpoints.Endpoint | None:
    """Return the least loaded usable endpoint that was not tried.

    Endpoints that were tried come last, for requests that may repeat.
    """
    usable = [
        item
        for item in candidates
        if item.is_usable(view.now) and view.is_reachable(item)
    ]
    fresh = [item for item in usable if item.identity not in tried]
    return min(fresh or usable, key=view.measure_load, default=None)


def list_holders(
    candidates: list[endpoints.Endpoint],
    need: tuple[str, str],
    version: int,
    view: View,
) -> list[endpoints.Endpoint]:
    """Return the engines in reach that hold a model or an adapter.

    :param version: oldest version of the adapter that may still be used
    """
    return [
        item
        for item in candidates
        if item.is_usable(view.now)
        and view.is_reachable(item)
        and item.holds(need, version)
    ]


def wants_copy(
    holders: list[endpoints.Endpoint],
    candidates: list[endpoints.Endpoint],
    view: View,
) -> bool:
    """Return whether an adapter should be held by one engine more.

    Load pattern: one adapter gets a fifth of all requests, and the engine
    that holds it alone answers late while the others have little to do.
    """
    usable = [item for item in candidates if item.is_usable(view.now)]
    if not holders or len(holders) >= len(usable):
        return False
    mean = sum(map(view.count_active, usable)) / len(usable)
    bound = max(COPY_REQUESTS, COPY_FACTOR * mean)
    return all(view.count_active(item) > bound for item in holders)
