"""Load balancing of requests over endpoints.

Load pattern: many short requests for a few small services, and streams whose
adapters are each held by one or a few engines. The choice counts the requests
in progress of all VMs and avoids endpoints that failed recently or could not
be reached.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
import random

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry.forwarding import traffic as traffic_tables

# Load that a recent failure adds, as a share of a full endpoint.
FAILURE_WEIGHT = 0.5
# Load by which an endpoint in this VM's own availability zone may exceed one
# in another zone, as a share of a full endpoint.
ZONE_WEIGHT = 0.1
# An engine divides its prompt and token throughput among all its requests, so
# that each request is slow long before the last request slot is occupied.
# Another copy of an adapter is requested when the requests in progress at each
# engine that holds it exceed this multiple of the mean.
COPY_FACTOR = 2.0
# An engine with no more requests in progress than this needs no other copy.
COPY_REQUESTS = 10

# Requests at one endpoint that the counts may lack in a large fleet.
MAX_UNSEEN_REQUESTS = 3
VMS_PER_UNSEEN_REQUEST = 16
# Number of endpoints that a choice compares.
DRAWN_ENDPOINTS = 2
DEFAULT_GENERATOR = random.Random()


def count_active(
    traffic: traffic_tables.TrafficTable,
    peers_active: Mapping[str, int],
    identity: str,
) -> int:
    """Return how many requests of all VMs an endpoint has in progress.

    :param peers_active: number of requests in progress of other VMs by
        endpoint
    """
    own = traffic.by_identity.get(identity)
    return (own.active if own else 0) + peers_active.get(identity, 0)


@attrs.frozen
class BalancingInput:
    """Input of a choice between endpoints.

    :param traffic: requests and failures of this VM by endpoint
    :param peers_active: number of requests in progress of other VMs by
        endpoint
    :param zone: availability zone of this VM
    :param vms: number of VMs that may be running
    :param max_own_requests: number of requests that this VM may have in
        progress at one endpoint, each on a connection of its own
    """

    traffic: traffic_tables.TrafficTable
    peers_active: Mapping[str, int]
    zone: str
    now: float
    max_own_requests: float = math.inf
    vms: int = 1

    def count_active(self, endpoint: endpoints.Endpoint) -> int:
        """Return how many requests of all VMs an endpoint has in progress."""
        return count_active(self.traffic, self.peers_active, endpoint.identity)

    def is_reachable(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint probably accepts another connection."""
        own = self.traffic.by_identity.get(endpoint.identity)
        if own is None:
            return True
        return (
            own.unreachable_until <= self.now
            and own.get_pause_end(endpoint.start) <= self.now
            and own.active < self.max_own_requests
        )

    def get_pause_end(self, endpoint: endpoints.Endpoint) -> float:
        """Return until when an endpoint wants no requests of this VM."""
        own = self.traffic.by_identity.get(endpoint.identity)
        return own.get_pause_end(endpoint.start) if own else 0.0

    def is_failing(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint failed recently."""
        own = self.traffic.by_identity.get(endpoint.identity)
        return own is not None and (
            own.measure_failures(self.now) > traffic_tables.NEGLIGIBLE_FAILURES
        )

    def measure_load(self, endpoint: endpoints.Endpoint) -> float:
        """Return the load score of an endpoint.

        A full endpoint has a score of 1. In a large fleet, endpoints with few
        requests have the same score, as the counts do not include what other
        VMs have sent since the last digest. Recent failures and another
        availability zone raise the score.
        """
        capacity = max(1, endpoint.capacity)
        active = max(self.count_unseen(), self.count_active(endpoint) + 1)
        return active / capacity + self.measure_penalty(endpoint)

    def count_unseen(self) -> int:
        """Return how many requests at an endpoint the counts may lack."""
        return min(MAX_UNSEEN_REQUESTS, self.vms // VMS_PER_UNSEEN_REQUEST)

    def measure_penalty(self, endpoint: endpoints.Endpoint) -> float:
        """Return what recent failures and another zone add to the load."""
        penalty = 0.0
        own = self.traffic.by_identity.get(endpoint.identity)
        if own is not None:
            penalty += FAILURE_WEIGHT * own.measure_failures(self.now)
        if endpoint.zone != self.zone:
            penalty += ZONE_WEIGHT
        return penalty


def choose_endpoint(
    candidates: list[endpoints.Endpoint],
    tried: frozenset[str],
    balancing_input: BalancingInput,
    generator: random.Random = DEFAULT_GENERATOR,
) -> endpoints.Endpoint | None:
    """Return the less loaded of two usable endpoints drawn at random.

    Load pattern: hundreds of VMs know the same counts, which are older than
    most requests last. If each took the lowest count, all would choose the
    same endpoint until the next digest.

    :param tried: ids of the endpoints that were already tried
    """
    preferred = list_preferred(candidates, tried, balancing_input)
    drawn = draw_endpoints(preferred, generator)
    return min(drawn, key=balancing_input.measure_load, default=None)


def draw_endpoints(
    preferred: list[endpoints.Endpoint], generator: random.Random
) -> list[endpoints.Endpoint]:
    """Return the endpoints that a choice compares, drawn at random."""
    return generator.sample(preferred, min(DRAWN_ENDPOINTS, len(preferred)))


def list_preferred(
    candidates: list[endpoints.Endpoint],
    tried: frozenset[str],
    balancing_input: BalancingInput,
) -> list[endpoints.Endpoint]:
    """Return the usable endpoints that a choice draws from.

    Endpoints that were already tried, and then those that failed recently, are
    among them only if there is no other.

    :param tried: ids of the endpoints that were already tried
    """
    usable = [
        item
        for item in candidates
        if item.is_usable(balancing_input.now)
        and balancing_input.is_reachable(item)
    ]
    untried = [item for item in usable if item.identity not in tried]
    remaining = untried or usable
    sound = [
        item for item in remaining if not balancing_input.is_failing(item)
    ]
    return sound or remaining


def find_pause_end(
    candidates: list[endpoints.Endpoint], balancing_input: BalancingInput
) -> float:
    """Return when the first endpoint accepts requests of this VM again.

    :returns: a time in the past if one accepts requests now
    """
    now = balancing_input.now
    return min(
        (
            balancing_input.get_pause_end(item)
            for item in candidates
            if item.is_usable(now)
        ),
        default=0.0,
    )


def list_holders(
    candidates: list[endpoints.Endpoint],
    model_key: tuple[str, str],
    version: int,
    balancing_input: BalancingInput,
) -> list[endpoints.Endpoint]:
    """Return the reachable engines that hold a model or an adapter.

    :param version: oldest version of the adapter that may be used
    """
    return [
        item
        for item in candidates
        if item.is_usable(balancing_input.now)
        and balancing_input.is_reachable(item)
        and item.holds(model_key, version)
    ]


def needs_copy(
    holders: list[endpoints.Endpoint],
    candidates: list[endpoints.Endpoint],
    balancing_input: BalancingInput,
) -> bool:
    """Return whether one more engine should hold an adapter.

    Load pattern: one adapter gets a fifth of all requests. The only engine
    that holds it answers late while the other engines have little load.
    """
    usable = [
        item for item in candidates if item.is_usable(balancing_input.now)
    ]
    if not holders or len(holders) >= len(usable):
        return False
    mean = sum(map(balancing_input.count_active, usable)) / len(usable)
    bound = max(COPY_REQUESTS, COPY_FACTOR * mean)
    return all(balancing_input.count_active(item) > bound for item in holders)
