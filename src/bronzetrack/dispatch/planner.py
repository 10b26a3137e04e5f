"""What the owner of an endpoint does next."""

from __future__ import annotations

from collections.abc import Iterator
import math

import attrs

from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import loads as load_plans
from bronzetrack.dispatch import state as states

# Every VM has read of a change in a heartbeat after this time.
NOTICE_MS = 1_200


@attrs.frozen
class Plan:
    """Effects for one endpoint.

    :param start: attempts to dispatch now
    :param refuse: attempts to refuse, with the failure
    :param fence: loaded adapter version to load again, which changes nothing
        but shows the engine the fencing number
    """

    start: tuple[str, ...] = ()
    refuse: tuple[tuple[str, failures.Failure], ...] = ()
    loads: load_plans.LoadPlan = attrs.field(factory=load_plans.LoadPlan)
    fence: str | None = None


def plan_endpoint(
    queue: states.EndpointQueue, context: contexts.EndpointContext, now_ms: int
) -> Plan:
    """Return the effects that are due for one endpoint."""
    refused = [
        *_find_timeouts(queue, context.rules, now_ms),
        *_find_misplaced(queue),
        *_find_stranded(queue, context),
    ]
    gone = {attempt for attempt, _ in refused}
    waiting = [
        item
        for item in _rank_waiting(queue, context)
        if item.work.attempt not in gone
    ]
    if _lacks_fence(queue, context):
        due = now_ms >= queue.fence_retry_ms
        return Plan(
            refuse=tuple(refused), fence=min(queue.residents) if due else None
        )
    started = (
        _choose_starts(queue, context, waiting) if context.may_start else ()
    )
    return Plan(
        start=tuple(started),
        refuse=tuple(refused),
        loads=load_plans.plan_loads(queue, context, waiting, now_ms),
    )


def _lacks_fence(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> bool:
    """Return whether a former owner could still evict what is loaded.

    An engine that checks fencing numbers refuses the orders of a former
    owner only once it has seen the number of this one.
    """
    return (
        context.endpoint.checks_fencing
        and not queue.fenced
        and bool(queue.residents)
    )


def _find_timeouts(
    queue: states.EndpointQueue, rules: rule_sets.Rules, now_ms: int
) -> Iterator[tuple[str, failures.Failure]]:
    for item in queue.waiting:
        limit_ms = min(
            item.work.timeout_ms,
            contexts.get_class(rules, item.work.work_class).queue_timeout_ms,
        )
        waited_ms = now_ms - item.queued_ms
        if waited_ms >= limit_ms:
            yield item.work.attempt, failures.Failure(
                failures.Reason.QUEUE_TIMEOUT,
                f"waited {waited_ms} ms",
                retry_after_ms=1_000,
                limit=f"classes.{item.work.work_class}.queue_timeout_ms",
            )


def _find_misplaced(
    queue: states.EndpointQueue,
) -> Iterator[tuple[str, failures.Failure]]:
    """Send work to others that came before its sender knew of the slowness.

    Work that comes later was sent here because the others are worse. Isolated
    work stays, since all VMs send it to the same endpoint.
    """
    if not queue.pace.slow:
        return
    for item in queue.waiting:
        lag_ms = item.queued_ms - queue.pace.slow_since_ms
        if lag_ms < NOTICE_MS and not item.work.isolated:
            yield item.work.attempt, failures.Failure(
                failures.Reason.ENDPOINT_SLOW,
                "the endpoint answers slower than its peers",
                retry_after_ms=1_000,
            )


def _find_stranded(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> Iterator[tuple[str, failures.Failure]]:
    """Send queued work to other endpoints before its endpoint leaves."""
    if not context.leaving:
        return
    for item in queue.waiting:
        yield item.work.attempt, failures.Failure(
            failures.Reason.ENDPOINT_LEAVING,
            "the endpoint gets no new work",
            retry_after_ms=1_000,
        )


def _rank_waiting(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> list[states.Waiting]:
    def rank(item: states.Waiting) -> tuple[int, float, int]:
        member = context.rules.members.get(item.work.member)
        weight = member.weight if member else 1.0
        used = context.usage.get(item.work.member, 0.0) / weight
        class_rank = contexts.get_class(
            context.rules, item.work.work_class
        ).rank
        return class_rank, used, item.queued_ms

    return sorted(queue.waiting, key=rank)


def _choose_starts(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    waiting: list[states.Waiting],
) -> Iterator[str]:
    slots = context.endpoint.slots
    if queue.pace.trial_slots is not None:
        slots = min(slots, queue.pace.trial_slots)
    running = [item.work for item in queue.running.values()]
    for item in waiting:
        if len(running) >= slots:
            return
        if not _is_ready(queue, item.work.adapter):
            continue
        if running and (item.work.isolated or running[0].isolated):
            continue
        share = contexts.get_class(
            context.rules, item.work.work_class
        ).slot_share
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
