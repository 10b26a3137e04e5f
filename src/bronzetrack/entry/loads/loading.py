"""Placement of adapters on engines, and eviction of other adapters.

Load pattern: thousands of adapters share a few hundred adapter slots. Most
requests are for a few adapters, the rest for a long tail of rare ones, and
demand shifts within seconds. An adapter is loaded by an engine that probably
held it before and can load it from its own memory, unless that engine is much
busier than others. The adapter evicted for it is idle and has the lowest
decayed use.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry import routes
from bronzetrack.entry.loads import loadstate

# Maximum number of adapters that one engine may be loading from the weight
# store at once.
MAX_PENDING = 4
# An adapter counts as idle when no VM has used it for this time. Reports of
# requests from other VMs arrive in less time than this.
IDLE_S = 0.15
# Weight of an engine's position in the order of preference. The load of an
# engine counts in the same unit, in which the mean load of the engines is 1.
RANK_WEIGHT = 1.0
# A demand waits this long for an engine that held the adapter before. A load
# there takes a tenth of the time and fetches nothing from the weight store.
CACHED_WAIT_S = 0.25
# Weight of the evicted adapter's decayed use against the load of the engine.
DECAYED_USE_WEIGHT = 0.1
# Engines that will be stopped in less than this time get no more orders.
MIN_REMAINING_S = 5.0
# A new holder of the lease collects reports of used adapters for this time
# before it evicts anything.
USE_COLLECTION_S = 0.4
# A rejection this soon after a load was announced means that the load takes
# longer than expected.
EARLY_REJECTION_S = 1.0
# A loaded adapter is kept for the requests that wait for it until the first of
# them uses it, but no longer than this time.
KEEP_LOADED_S = 1.0


@attrs.frozen
class Plan:
    """Decision that an engine loads an adapter.

    :param version: version of the adapter to load
    :param victim: adapter that the engine unloads first, if any
    """

    endpoint: endpoints.Endpoint
    model_key: endpoints.ModelKey
    version: int
    victim: endpoints.ModelKey | None = None


def compute_hash_weight(model_key: endpoints.ModelKey, identity: str) -> int:
    """Return the rendezvous hash of an adapter and an engine.

    The value is the same on all VMs.
    """
    text = f"{model_key[0]}/{model_key[1]}/{identity}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def plan_load(
    candidates: list[endpoints.Endpoint],
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    relative_requests: Mapping[str, float],
    engine_capacity: routes.EngineCapacity,
    now: float,
) -> Plan | None:
    """Return the engine that loads an adapter at the least cost.

    :param candidates: engines that accept an order now
    :param relative_requests: requests in progress at each engine, relative to
        the mean
    :returns: the plan, or None if no engine can load the adapter now
    """
    ranked = sorted(
        candidates,
        key=lambda item: compute_hash_weight(demand.model_key, item.identity),
        reverse=True,
    )
    best: tuple[float, Plan] | None = None
    for rank, endpoint in enumerate(ranked):
        found = _plan_on_engine(endpoint, demand, state, engine_capacity, now)
        if found is None:
            continue
        cost, plan = found
        cost += relative_requests.get(endpoint.identity, 0.0)
        cost += RANK_WEIGHT * math.log1p(rank)
        if best is None or cost < best[0]:
            best = (cost, plan)
    return best[1] if best else None


def _plan_on_engine(
    endpoint: endpoints.Endpoint,
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    engine_capacity: routes.EngineCapacity,
    now: float,
) -> tuple[float, Plan] | None:
    """Return the cost and plan of a load at an engine, if it is possible."""
    if demand.model_key[0] not in endpoint.models:
        return None
    engine_state = state.get_or_create_engine(endpoint)
    if len(engine_state.pending) >= MAX_PENDING:
        return None
    if demand.model_key in engine_state.held:
        # A new version occupies a slot of its own until the old version is
        # unloaded, so the old version is unloaded first.
        if _is_evictable(endpoint, demand.model_key, engine_state, state, now):
            return -1.0, Plan(
                endpoint, demand.model_key, demand.version, demand.model_key
            )
        return None
    if len(engine_state.held) < engine_capacity.adapter_capacity:
        return 0.0, Plan(endpoint, demand.model_key, demand.version)
    evictable = [
        model_key
        for model_key in engine_state.held
        if _is_evictable(endpoint, model_key, engine_state, state, now)
    ]
    if not evictable:
        return None
    victim = min(
        evictable,
        key=lambda model_key: _make_eviction_key(
            endpoint, model_key, state, now
        ),
    )
    decayed_use = state.compute_decayed_use(victim, now)
    return DECAYED_USE_WEIGHT * decayed_use, Plan(
        endpoint, demand.model_key, demand.version, victim
    )


def _is_evictable(
    endpoint: endpoints.Endpoint,
    model_key: endpoints.ModelKey,
    engine_state: loadstate.EngineState,
    state: loadstate.LoadingState,
    now: float,
) -> bool:
    """Return whether an adapter may be evicted from an engine."""
    if (
        model_key in engine_state.pending
        or model_key in engine_state.unloading
    ):
        return False
    if state.started_at is None or now - state.started_at < USE_COLLECTION_S:
        return False
    used_at = state.used_at.get((endpoint.identity, model_key), 0.0)
    loaded_at = engine_state.loaded_at.get(model_key, 0.0)
    if used_at < loaded_at and now - loaded_at < KEEP_LOADED_S:
        return False
    return now - used_at >= IDLE_S


def _make_eviction_key(
    endpoint: endpoints.Endpoint,
    model_key: endpoints.ModelKey,
    state: loadstate.LoadingState,
    now: float,
) -> tuple[float, float]:
    return (
        state.compute_decayed_use(model_key, now),
        state.used_at.get((endpoint.identity, model_key), 0.0),
    )


def accepts_orders(
    endpoint: endpoints.Endpoint, state: loadstate.LoadingState, now: float
) -> bool:
    """Return whether an engine accepts an order now."""
    engine_state = state.get_or_create_engine(endpoint)
    if (
        endpoint.stops_at is not None
        and endpoint.stops_at - now < MIN_REMAINING_S
    ):
        return False
    return (
        endpoint.is_usable(now)
        and not engine_state.call_pending
        and engine_state.report_due_at is None
        and now >= engine_state.unreachable_until
        and now >= engine_state.loading_until
    )


def sort_demands(
    demands: Iterable[loadstate.Demand], first_event_delay_s: float, now: float
) -> list[loadstate.Demand]:
    """Return demands in the order in which they are served.

    Load pattern: a burst of demands for more adapters than there are slots.
    Demands that can still be met on time come first, most urgent first. Late
    demands follow, the latest last. If demands were served in the order of
    their arrival, every request would be late. Demands for additional copies
    come after all others.

    :param first_event_delay_s: time from an order to the first event
    """
    soonest = now + first_event_delay_s
    return sorted(
        demands,
        key=lambda item: (
            item.copies > 1,
            item.deadline < soonest,
            abs(item.deadline - soonest),
        ),
    )


def has_available_slot(
    endpoint: endpoints.Endpoint,
    state: loadstate.LoadingState,
    engine_capacity: routes.EngineCapacity,
    now: float,
) -> bool:
    """Return whether an engine has a free slot or an evictable adapter."""
    engine_state = state.get_or_create_engine(endpoint)
    return len(engine_state.held) < engine_capacity.adapter_capacity or any(
        _is_evictable(endpoint, model_key, engine_state, state, now)
        for model_key in engine_state.held
    )


def select_load_candidates(
    available: list[endpoints.Endpoint],
    candidates: list[endpoints.Endpoint],
    holders: list[endpoints.Endpoint],
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    now: float,
    is_hot: bool = False,
) -> list[endpoints.Endpoint]:
    """Return the engines that may load an adapter now.

    Load pattern: in a burst the engine that held an adapter before has no
    evictable slot at the moment, and another engine would fetch the adapter
    from the weight store again. A demand therefore waits briefly for such an
    engine. Additional copies go to engines that do not hold the adapter now.

    :param available: engines that accept an order now
    :param candidates: all engines of the service
    :param holders: engines that hold the adapter or are loading it
    :param is_hot: whether the holders have more requests than they should, so
        that a copy is not worth a wait
    """
    if holders:
        available = [item for item in available if item not in holders]
    if now - demand.since > CACHED_WAIT_S:
        return available
    cached = {
        item.identity
        for item in candidates
        if item.is_usable(now)
        and state.get_or_create_engine(item).is_cached(demand.model_key)
        and now >= state.get_or_create_engine(item).unreachable_until
        and item not in holders
    }
    if not cached:
        return available
    found = [item for item in available if item.identity in cached]
    return found or available if is_hot else found


def list_holders(
    candidates: list[endpoints.Endpoint],
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    now: float,
) -> list[endpoints.Endpoint]:
    """Return the engines that hold an adapter or are loading it.

    An engine may have to unload another adapter before it begins to load this
    one. It counts from the time of the plan.
    """
    return [
        item
        for item in candidates
        if item.is_usable(now)
        and _will_hold(state.get_or_create_engine(item), demand, now)
    ]


def _will_hold(
    engine_state: loadstate.EngineState, demand: loadstate.Demand, now: float
) -> bool:
    if now < engine_state.unreachable_until:
        return False
    if engine_state.is_planned(demand.model_key, demand.version):
        return True
    return (
        engine_state.held.get(demand.model_key, 0) >= demand.version
        and demand.model_key not in engine_state.unloading
    )
