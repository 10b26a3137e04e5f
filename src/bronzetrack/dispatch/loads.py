"""Planning of adapter loads and evictions."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import state as states

# Added to the waiting time of each request, so that a request that has just
# arrived counts too.
WAIT_OFFSET_MS = 250


@attrs.frozen
class LoadPlan:
    """Holds the loads and evictions that are due.

    :param load: adapters to load
    :param unload: adapters to evict
    :param permit_shortfall: number of further loads that could start with
        more permits
    """

    load: tuple[str, ...] = ()
    unload: tuple[str, ...] = ()
    permit_shortfall: int = 0


def plan_loads(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    waiting: Sequence[states.Waiting],
    now_ms: int,
) -> LoadPlan:
    """Return the loads and evictions for waiting work.

    If no adapter is missing and none has to be evicted, adapters of the
    placement are prefetched if that is allowed.
    """
    if not context.may_load:
        return LoadPlan()
    missing, displaced = _apply_quotas(queue, context, waiting, now_ms)
    if missing:
        load, unload = _choose_loads(queue, context, missing)
        return LoadPlan(
            load,
            tuple(dict.fromkeys((*unload, *displaced))),
            _count_permit_shortfall(queue, context, missing),
        )
    if displaced:
        return LoadPlan(unload=tuple(displaced))
    if not context.may_prefetch:
        return LoadPlan()
    to_prefetch = [
        adapter
        for adapter in context.placement.wanted
        if _may_load(queue, adapter, now_ms)
    ]
    return LoadPlan(*_choose_loads(queue, context, to_prefetch[:1]))


def _apply_quotas(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    waiting: Sequence[states.Waiting],
    now_ms: int,
) -> tuple[list[str], list[str]]:
    """Return the missing adapters within quota and the adapters to evict.

    A member at its quota evicts its own least recently used adapter. Its load
    follows once the quota view counts the eviction.
    """
    view = context.quotas
    members = {item.work.adapter: item.work.member for item in waiting}
    missing = rank_missing(queue, waiting, now_ms)
    at_quota = {members[name] for name in missing} - {
        member for member in members.values() if view.has_room(member)
    }
    within_quota = [name for name in missing if members[name] not in at_quota]
    if not context.may_unload:
        return within_quota, []
    evictions = {**{member: 1 for member in at_quota}, **view.excess}
    if not evictions:
        return within_quota, []
    evictable = list_evictable(queue)
    return within_quota, [
        name
        for member, count in evictions.items()
        for name in view.filter_adapters(evictable, member)[:count]
    ]


def is_over_quota(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    adapter: str,
    member: str,
) -> bool:
    """Return whether a load would exceed the quota of its member.

    It does not if the member has an adapter at this endpoint, which can be
    evicted for the load first.
    """
    if not adapter or adapter in queue.residents:
        return False
    if context.quotas.has_room(member):
        return False
    return not context.quotas.filter_adapters(queue.residents, member)


def rank_missing(
    queue: states.EndpointQueue,
    waiting: Sequence[states.Waiting],
    now_ms: int,
) -> list[str]:
    """Return the adapters to load, longest total wait first.

    The waiting times of all requests for an adapter are added up. Ranking by
    the first request alone let a rare adapter go before a popular one.
    """
    waits: dict[str, int] = {}
    for item in waiting:
        adapter = item.work.adapter
        if adapter and _may_load(queue, adapter, now_ms):
            waited_ms = now_ms - item.queued_ms + WAIT_OFFSET_MS
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
    """Return the adapters to load and those to evict for further loads.

    Only loads with a permit cause evictions. Evicting before a permit is
    available would leave the slot empty while the load waits for the weight
    store.
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
    """Return the evictable adapters in the order of eviction.

    Adapters outside the wanted placement go first. Among equals, adapters
    that other endpoints have loaded go first, then the least recently used.
    """
    wanted = set(context.placement.wanted)
    return sorted(
        list_evictable(queue),
        key=lambda adapter: (
            adapter in wanted,
            adapter not in context.placement.elsewhere,
        ),
    )


def _count_permit_shortfall(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    missing: list[str],
) -> int:
    """Return how many further loads could start with more permits."""
    if len(missing) <= context.load_permits:
        return 0
    room = context.endpoint.adapter_slots - len(queue.residents)
    if context.may_unload:
        room += len(list_evictable(queue))
    return max(0, min(len(missing), room) - context.load_permits)


def list_evictable(queue: states.EndpointQueue) -> list[str]:
    """Return the adapters that nothing uses, least recently used first."""
    pinned = queue.pinned
    idle = [
        (resident.used_ms, adapter)
        for adapter, resident in queue.residents.items()
        if resident.phase is states.ResidentPhase.READY
        and not resident.inherited
        and adapter not in pinned
    ]
    return [adapter for _, adapter in sorted(idle)]
