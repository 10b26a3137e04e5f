"""Number of engines that should hold an adapter."""

from __future__ import annotations

import math

from bronzetrack.entry import endpoints
from bronzetrack.entry.loads import placement

# Share of the request slots of an engine that requests should occupy. Above
# it, bursts fill the engine within the time that a further copy takes to load.
TARGET_SHARE = 0.6
# An engine with fewer requests than this share of its slots is no reason for a
# copy. Its count often exceeds the target for a moment, while the copy would
# take a slot from another adapter.
TRIGGER_SHARE = 0.8
# An engine counts as rejecting for this time after it rejected a request. The
# counts of other VMs are about as old.
REJECTION_TTL_S = 0.5
# Least share of its slots that the requests for a rejecting engine would
# occupy. The requests that it rejects are in no count.
REJECTING_SHARE = 2.0
# Share by which a holder has to exceed the mean of the other engines. Copies
# help as long as others have less to do, also if all are busy.
IMBALANCE_FACTOR = 1.5
# Bounds of one step, after which the counts have to show its effect.
MAX_GROWTH_FACTOR = 2
MIN_STEP_COPIES = 4
MAX_ADDED_COPIES = 8


def count_copies(
    holders: list[endpoints.Endpoint],
    candidates: list[endpoints.Endpoint],
    balancing_input: placement.BalancingInput,
) -> int:
    """Return how many engines should hold an adapter.

    Load pattern: one adapter gets a quarter of all requests. The engine that
    holds it is full and rejects them, while other engines have room. All VMs
    see the same counts, which a further copy changes only after a while: the
    number follows from the sum over all holders, so that a copy without any
    request so far is not a reason for yet another one.

    :param holders: engines that hold the adapter
    :param candidates: all engines of the service
    :returns: the number of holders if it is sufficient
    """
    present = len(holders)
    usable = [
        item for item in candidates if item.is_usable(balancing_input.now)
    ]
    others = [item for item in usable if item not in holders]
    if not holders or not others:
        return present
    mean = _measure_share(others, balancing_input)
    shares = [measure_share(item, balancing_input) for item in holders]
    if max(shares) < max(TRIGGER_SHARE, IMBALANCE_FACTOR * mean):
        return present
    needed = math.ceil(sum(shares) / max(TARGET_SHARE, mean))
    return max(present, min(needed, limit_step(present), len(usable)))


def limit_step(present: int) -> int:
    """Return the largest number of copies that may be asked for at once.

    :param present: number of copies that exist
    """
    return min(
        max(MIN_STEP_COPIES, MAX_GROWTH_FACTOR * present),
        present + MAX_ADDED_COPIES,
    )


def measure_share(
    endpoint: endpoints.Endpoint, balancing_input: placement.BalancingInput
) -> float:
    """Return the requests for an engine, as a share of its slots."""
    capacity = max(1, endpoint.capacity)
    share = balancing_input.count_active(endpoint) / capacity
    own = balancing_input.traffic.by_identity.get(endpoint.identity)
    if own is not None and (
        balancing_input.now - own.rejected_at < REJECTION_TTL_S
    ):
        share = max(REJECTING_SHARE, share)
    return share


def _measure_share(
    engines: list[endpoints.Endpoint],
    balancing_input: placement.BalancingInput,
) -> float:
    """Return the mean share of the slots that requests occupy."""
    shares = [
        min(1.0, measure_share(item, balancing_input)) for item in engines
    ]
    return sum(shares) / len(shares)
