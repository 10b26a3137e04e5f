"""Which engine loads an adapter, and what it drops for that.

Load pattern: thousands of adapters over some hundred places, most requests
for a few of them, a long tail of rare ones, and demand that moves on within
seconds. An adapter goes to an engine that probably held it before, which
loads it from its own memory, unless that engine is much busier; the adapter
dropped for it is idle and the least used lately.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry import loadstate
from bronzetrack.entry import routes

# Adapters that an engine may have on their way from the weight store.
MOST_PENDING = 4
# An adapter counts as idle when no VM used it for this time, which is longer
# than news of a request takes to arrive.
IDLE_S = 0.15
# What a place in the order of preference weighs against load, where 1 is the
# mean load of the engines.
RANK_WEIGHT = 1.0
# A demand waits this long for an engine that held the adapter before. It loads
# in a tenth of the time there, and nothing is fetched from the weight store.
WARM_WAIT_S = 0.25
# What the use of the adapter to drop weighs against load.
HEAT_WEIGHT = 0.1
# Engines that leave sooner than this load nothing more.
LEAVING_S = 5.0
# A new holder of the lease hears for this time what is in use before it drops
# anything.
LISTEN_S = 0.4
# A rejection this soon after a load means that the load takes longer.
FRESH_S = 1.0
# An adapter that was loaded is kept for the requests that wait for it until
# the first of them uses it, or for this time.
KEEP_LOADED_S = 1.0


@attrs.frozen
class Plan:
    """An engine that loads an adapter.

    :param victim: adapter that it drops first
    """

    endpoint: endpoints.Endpoint
    need: endpoints.Need
    version: int
    victim: endpoints.Need | None = None


def measure_rank(need: endpoints.Need, identity: str) -> int:
    """Return the weight of an engine for an adapter, the same at all VMs."""
    text = f"{need[0]}/{need[1]}/{identity}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def plan_load(
    candidates: list[endpoints.Endpoint],
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    loads: Mapping[str, float],
    engine: routes.Engine,
    now: float,
) -> Plan | None:
    """Return where an adapter is loaded, or nothing if no engine can.

    :param candidates: engines that take an order now
    :param loads: requests in progress at each engine against the mean
    """
    ranked = sorted(
        candidates,
        key=lambda item: measure_rank(demand.need, item.identity),
        reverse=True,
    )
    best: tuple[float, Plan] | None = None
    for rank, endpoint in enumerate(ranked):
        found = _weigh(endpoint, demand, state, engine, now)
        if found is None:
            continue
        cost, plan = found
        cost += loads.get(endpoint.identity, 0.0)
        cost += RANK_WEIGHT * math.log1p(rank)
        if best is None or cost < best[0]:
            best = (cost, plan)
    return best[1] if best else None


def _weigh(
    endpoint: endpoints.Endpoint,
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    engine: routes.Engine,
    now: float,
) -> tuple[float, Plan] | None:
    """Return the cost of loading at an engine, if it can be done now."""
    if demand.need[0] not in endpoint.models:
        return None
    known = state.find_engine(endpoint)
    if len(known.pending) >= MOST_PENDING:
        return None
    if demand.need in known.held:
        # A replacement takes a place of its own until the old version goes,
        # so that the old one is dropped first.
        if _is_idle(endpoint, demand.need, known, state, now):
            return -1.0, Plan(
                endpoint, demand.need, demand.version, demand.need
            )
        return None
    if len(known.held) < engine.places:
        return 0.0, Plan(endpoint, demand.need, demand.version)
    idle = [
        need
        for need in known.held
        if _is_idle(endpoint, need, known, state, now)
    ]
    if not idle:
        return None
    victim = min(idle, key=lambda need: _rate(endpoint, need, state, now))
    heat = state.measure_heat(victim, now)
    return HEAT_WEIGHT * heat, Plan(
        endpoint, demand.need, demand.version, victim
    )


def _is_idle(
    endpoint: endpoints.Endpoint,
    need: endpoints.Need,
    known: loadstate.EngineState,
    state: loadstate.LoadingState,
    now: float,
) -> bool:
    """Return whether an adapter may be dropped."""
    if need in known.pending or need in known.unloading:
        return False
    if state.started_at is None or now - state.started_at < LISTEN_S:
        return False
    used_at = state.used_at.get((endpoint.identity, need), 0.0)
    loaded_at = known.loaded_at.get(need, 0.0)
    if used_at < loaded_at and now - loaded_at < KEEP_LOADED_S:
        return False
    return now - used_at >= IDLE_S


def _rate(
    endpoint: endpoints.Endpoint,
    need: endpoints.Need,
    state: loadstate.LoadingState,
    now: float,
) -> tuple[float, float]:
    return (
        state.measure_heat(need, now),
        state.used_at.get((endpoint.identity, need), 0.0),
    )


def can_order(
    endpoint: endpoints.Endpoint, state: loadstate.LoadingState, now: float
) -> bool:
    """Return whether an engine takes an order now."""
    known = state.find_engine(endpoint)
    if endpoint.gone_at is not None and endpoint.gone_at - now < LEAVING_S:
        return False
    return (
        endpoint.is_usable(now)
        and not known.ordering
        and known.check_at is None
        and now >= known.silent_until
        and now >= known.loading_until
    )


def order_demands(
    demands: Iterable[loadstate.Demand], margin_s: float, now: float
) -> list[loadstate.Demand]:
    """Return demands in the order in which they are met.

    Load pattern: a burst that asks for more adapters than there are places.
    Those that can still be on time come first, the most urgent in front; then
    the late ones, the latest last, since in the order of their arrival every
    request would be late. Further copies come after all others.

    :param margin_s: time from an order to the first event
    """
    soonest = now + margin_s
    return sorted(
        demands,
        key=lambda item: (
            item.copies > 1,
            item.due < soonest,
            abs(item.due - soonest),
        ),
    )


def has_room(
    endpoint: endpoints.Endpoint,
    state: loadstate.LoadingState,
    engine: routes.Engine,
    now: float,
) -> bool:
    """Return whether an engine has a free place or an idle adapter."""
    known = state.find_engine(endpoint)
    return len(known.held) < engine.places or any(
        _is_idle(endpoint, need, known, state, now) for need in known.held
    )


def prefer_warm(
    able: list[endpoints.Endpoint],
    candidates: list[endpoints.Endpoint],
    holders: list[endpoints.Endpoint],
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    now: float,
) -> list[endpoints.Endpoint]:
    """Return the engines that may load an adapter now.

    Load pattern: in a burst the engine that held an adapter before has no
    idle place at the moment, and another one would fetch it anew. A further
    copy goes to an engine that does not hold the adapter now.

    :param able: engines that take an order now
    :param holders: engines that hold the adapter or will soon
    """
    if holders:
        able = [item for item in able if item not in holders]
    if now - demand.since > WARM_WAIT_S:
        return able
    warm = {
        item.identity
        for item in candidates
        if item.is_usable(now)
        and state.find_engine(item).has_seen(demand.need)
        and now >= state.find_engine(item).silent_until
        and item not in holders
    }
    if not warm:
        return able
    return [item for item in able if item.identity in warm]


def list_holders(
    candidates: list[endpoints.Endpoint],
    demand: loadstate.Demand,
    state: loadstate.LoadingState,
    now: float,
) -> list[endpoints.Endpoint]:
    """Return the engines that hold an adapter or will soon."""
    return [
        item
        for item in candidates
        if item.is_usable(now) and _holds(state.find_engine(item), demand, now)
    ]


def _holds(
    known: loadstate.EngineState, demand: loadstate.Demand, now: float
) -> bool:
    return (
        now >= known.silent_until
        and known.held.get(demand.need, 0) >= demand.version
        and demand.need not in known.unloading
    )
