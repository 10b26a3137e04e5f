"""Which adapters an owner loads and evicts next."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import state as states

# A request that has just arrived counts as one that has waited this long.
LEAST_WAIT_MS = 250


@attrs.frozen
class LoadPlan:
    """Loads and evictions that are due.

    :param short: loads that wait for a permit only
    """

    load: tuple[str, ...] = ()
    unload: tuple[str, ...] = ()
    short: int = 0


def plan_loads(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    waiting: Sequence[states.Waiting],
    now_ms: int,
) -> LoadPlan:
    """Return what to load for waiting work, or ahead of it."""
    if not context.may_load:
        return LoadPlan()
    missing, displaced = _apply_quotas(queue, context, waiting, now_ms)
    if missing:
        load, unload = _choose_loads(queue, context, missing)
        return LoadPlan(
            load,
            tuple(dict.fromkeys((*unload, *displaced))),
            _count_short(queue, context, missing),
        )
    if displaced:
        return LoadPlan(unload=tuple(displaced))
    if not context.may_prefetch:
        return LoadPlan()
    wanted = [
        adapter
        for adapter in context.placement.wanted
        if _may_load(queue, adapter, now_ms)
    ]
    return LoadPlan(*_choose_loads(queue, context, wanted[:1]))


def _apply_quotas(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    waiting: Sequence[states.Waiting],
    now_ms: int,
) -> tuple[list[str], list[str]]:
    """Return the missing adapters within quota and what has to go first.

    A member without room displaces its own least recently used adapter. Its
    load follows once the eviction is counted.
    """
    view = context.quotas
    members = {item.work.adapter: item.work.member for item in waiting}
    missing = rank_missing(queue, waiting, now_ms)
    full = {members[name] for name in missing} - {
        member for member in members.values() if view.has_room(member)
    }
    wanted = [name for name in missing if members[name] not in full]
    if not context.may_unload:
        return wanted, []
    due = {**{member: 1 for member in full}, **view.excess}
    if not due:
        return wanted, []
    evictable = list_evictable(queue)
    return wanted, [
        name
        for member, count in due.items()
        for name in view.pick(evictable, member)[:count]
    ]


def is_over_quota(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    adapter: str,
    member: str,
) -> bool:
    """Return whether a load would exceed a quota and nothing here can go."""
    if not adapter or adapter in queue.residents:
        return False
    if context.quotas.has_room(member):
        return False
    return not context.quotas.pick(queue.residents, member)


def rank_missing(
    queue: states.EndpointQueue,
    waiting: Sequence[states.Waiting],
    now_ms: int,
) -> list[str]:
    """Return the adapters to load, those with the longest waits first.

    The waits of all requests for an adapter are added up. Ranking by the
    first request alone let one rare adapter go before a popular one.
    """
    waits: dict[str, int] = {}
    for item in waiting:
        adapter = item.work.adapter
        if adapter and _may_load(queue, adapter, now_ms):
            waited_ms = now_ms - item.queued_ms + LEAST_WAIT_MS
            waits[adapter] = waits.get(adapter, 0) + waited_ms
    return sorted(waits, key=lambda adapter: -waits[adapter])


def _may_load(queue: states.EndpointQueue, adapter: str, now_ms: int) -> bool:
    return adapter not in queue.residents and now_ms >= (
        queue.load_retry_ms.get(adapter, 0)
    )


def _choose_loads(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    missing: list[str],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the adapters to load and those to evict for more.

    Only loads with a permit evict: an adapter that is evicted earlier serves
    nobody while the load waits for the weight store.
    """
    permitted = missing[: max(0, context.load_permits)]
    free = max(0, context.endpoint.adapter_slots - len(queue.residents))
    load = tuple(permitted[:free])
    if not context.may_unload:
        return load, ()
    unloading = sum(
        resident.phase is states.ResidentPhase.UNLOADING
        for resident in queue.residents.values()
    )
    needed = max(0, len(permitted) - len(load) - unloading)
    if not needed:
        return load, ()
    return load, tuple(_rank_victims(queue, context)[:needed])


def _rank_victims(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> list[str]:
    """Return what may be evicted, adapters in least demand first."""
    wanted = set(context.placement.wanted)
    return sorted(
        list_evictable(queue),
        key=lambda adapter: (
            adapter in wanted,
            adapter not in context.placement.elsewhere,
        ),
    )


def _count_short(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    missing: list[str],
) -> int:
    """Return how many loads more permits would allow."""
    if len(missing) <= context.load_permits:
        return 0
    room = context.endpoint.adapter_slots - len(queue.residents)
    if context.may_unload:
        room += len(list_evictable(queue))
    return max(0, min(len(missing), room) - context.load_permits)


def list_evictable(queue: states.EndpointQueue) -> list[str]:
    """Return adapters that nothing uses, least recently used first."""
    pinned = queue.pinned
    idle = [
        (resident.used_ms, adapter)
        for adapter, resident in queue.residents.items()
        if resident.phase is states.ResidentPhase.READY
        and not resident.inherited
        and adapter not in pinned
    ]
    return [adapter for _, adapter in sorted(idle)]
