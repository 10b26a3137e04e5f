"""What the owner of an endpoint does next."""

from __future__ import annotations

from collections.abc import Iterator
import math

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.dispatch import placement as placements
from bronzetrack.dispatch import state as states

DEFAULT_CLASS = rule_sets.ClassRule()
# A request that has just arrived counts as one that has waited this long.
LEAST_WAIT_MS = 250


@attrs.frozen
class Plan:
    """Effects for one endpoint.

    :param start: attempts to dispatch now
    :param load: adapter versions to load
    :param unload: adapter versions to evict
    :param refuse: attempts to refuse, with the failure
    :param short: loads that wait for a permit only
    """

    start: tuple[str, ...] = ()
    load: tuple[str, ...] = ()
    unload: tuple[str, ...] = ()
    refuse: tuple[tuple[str, failures.Failure], ...] = ()
    short: int = 0


@attrs.frozen
class EndpointContext:
    """What a plan depends on besides the queue.

    :param may_load: whether orders that evict nothing are allowed
    :param may_unload: whether orders that need the lease are allowed
    :param load_permits: loads that may start now
    :param usage: cost by member over all VMs
    :param may_prefetch: whether the store has loads to spare
    """

    endpoint: inventories.Endpoint
    rules: rule_sets.Rules
    may_load: bool
    may_unload: bool
    load_permits: int
    usage: dict[str, float] = attrs.field(factory=dict)
    placement: placements.Placement = attrs.field(factory=placements.Placement)
    may_prefetch: bool = False


def plan_endpoint(
    queue: states.EndpointQueue, context: EndpointContext, now_ms: int
) -> Plan:
    """Return the effects that are due for one endpoint."""
    refused = list(_find_timeouts(queue, context.rules, now_ms))
    gone = {attempt for attempt, _ in refused}
    waiting = [
        item
        for item in _rank_waiting(queue, context)
        if item.work.attempt not in gone
    ]
    started = _choose_starts(queue, context, waiting)
    missing = _list_missing(queue, waiting, now_ms)
    demanded = bool(missing)
    if not demanded and context.may_prefetch:
        missing = [
            adapter
            for adapter in context.placement.wanted
            if _may_load(queue, adapter, now_ms)
        ][:1]
    load, unload = _choose_loads(queue, context, missing)
    return Plan(
        start=tuple(started),
        load=load,
        unload=unload,
        refuse=tuple(refused),
        short=_count_short(queue, context, missing) if demanded else 0,
    )


def _find_timeouts(
    queue: states.EndpointQueue, rules: rule_sets.Rules, now_ms: int
) -> Iterator[tuple[str, failures.Failure]]:
    for item in queue.waiting:
        limit_ms = min(
            item.work.timeout_ms,
            get_class(rules, item.work.work_class).queue_timeout_ms,
        )
        waited_ms = now_ms - item.queued_ms
        if waited_ms >= limit_ms:
            yield item.work.attempt, failures.Failure(
                failures.Reason.QUEUE_TIMEOUT,
                f"waited {waited_ms} ms",
                retry_after_ms=1_000,
                limit=f"classes.{item.work.work_class}.queue_timeout_ms",
            )


def get_class(rules: rule_sets.Rules, work_class: str) -> rule_sets.ClassRule:
    """Return the rule of a class, or the default after a rule was removed."""
    return rules.classes.get(work_class, DEFAULT_CLASS)


def _rank_waiting(
    queue: states.EndpointQueue, context: EndpointContext
) -> list[states.Waiting]:
    def rank(item: states.Waiting) -> tuple[int, float, int]:
        member = context.rules.members.get(item.work.member)
        weight = member.weight if member else 1.0
        used = context.usage.get(item.work.member, 0.0) / weight
        class_rank = get_class(context.rules, item.work.work_class).rank
        return class_rank, used, item.queued_ms

    return sorted(queue.waiting, key=rank)


def _choose_starts(
    queue: states.EndpointQueue,
    context: EndpointContext,
    waiting: list[states.Waiting],
) -> Iterator[str]:
    slots = context.endpoint.slots
    running = [item.work for item in queue.running.values()]
    for item in waiting:
        if len(running) >= slots:
            return
        if not _is_ready(queue, item.work.adapter):
            continue
        if running and (item.work.isolated or running[0].isolated):
            continue
        share = get_class(context.rules, item.work.work_class).slot_share
        of_class = sum(
            work.work_class == item.work.work_class for work in running
        )
        if of_class >= max(1, math.floor(slots * share)):
            continue
        running.append(item.work)
        yield item.work.attempt


def _is_ready(queue: states.EndpointQueue, adapter: str) -> bool:
    if not adapter:
        return True
    resident = queue.residents.get(adapter)
    return (
        resident is not None and resident.phase is states.ResidentPhase.READY
    )


def _list_missing(
    queue: states.EndpointQueue, waiting: list[states.Waiting], now_ms: int
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
    context: EndpointContext,
    missing: list[str],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the adapters to load and those to evict for more.

    Only loads with a permit evict: an adapter that is evicted earlier serves
    nobody while the load waits for the weight store.
    """
    if not context.may_load:
        return (), ()
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
    return load, tuple(_rank_victims(queue, context)[:needed])


def _rank_victims(
    queue: states.EndpointQueue, context: EndpointContext
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
    context: EndpointContext,
    missing: list[str],
) -> int:
    """Return how many loads more permits would allow."""
    if not context.may_load:
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
