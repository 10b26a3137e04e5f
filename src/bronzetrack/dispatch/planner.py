"""What the owner of an endpoint does next."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import math

import attrs

from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import loads as load_plans
from bronzetrack.dispatch import state as states
from bronzetrack.limits import shares

# Every VM has read of a change in a heartbeat after this time.
NOTICE_MS = 1_200
# Work that has waited long goes before work of a lower rank only while less
# than this part of the slots runs work of higher ranks. Without the bound, all
# long work was old at twice the capacity, and short work came too late.
AGED_PART = 0.25


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
    # Each attempt is refused once; of several reasons the last one counts.
    refusals = dict(
        itertools.chain(
            _find_unservable(queue, context),
            _find_misplaced(queue),
            _find_timeouts(queue, context.rules, now_ms),
        )
    )
    refused = tuple(refusals.items())
    waiting = [
        item
        for item in rank_waiting(queue, context, now_ms)
        if item.work.attempt not in refusals
    ]
    if _lacks_fence(queue, context):
        due = now_ms >= queue.fence_retry_ms
        return Plan(
            refuse=refused, fence=min(queue.residents) if due else None
        )
    started = (
        _choose_starts(queue, context, waiting) if context.may_start else ()
    )
    return Plan(
        start=tuple(started),
        refuse=refused,
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
    limits_ms = {
        name: contexts.get_class(rules, name).queue_timeout_ms
        for name in {item.work.work_class for item in queue.waiting}
    }
    for item in queue.waiting:
        limit_ms = min(item.work.timeout_ms, limits_ms[item.work.work_class])
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


def _find_unservable(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> Iterator[tuple[str, failures.Failure]]:
    """Send queued work to other endpoints if it could only wait here.

    Isolated work stays, since all VMs send it to the same endpoint.
    """
    # Every reason needs one of these, and few endpoints have any.
    if (
        queue.reachable
        and not context.leaving
        and not context.superseded
        and not queue.load_retry_ms
        and all(context.quotas.room.values())
    ):
        return
    for item in queue.waiting:
        reason = _find_unservable_reason(queue, context, item)
        if reason is not None:
            yield item.work.attempt, failures.Failure(
                reason,
                "the endpoint cannot run the request now",
                retry_after_ms=1_000,
                limit=_name_limit(reason, item),
            )


def _name_limit(reason: failures.Reason, item: states.Waiting) -> str | None:
    if reason is failures.Reason.WARM_QUOTA:
        return f"members.{item.work.member}.warm_adapters"
    return None


def _find_unservable_reason(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    item: states.Waiting,
) -> failures.Reason | None:
    if context.superseded:
        return failures.Reason.LEASE_LAPSED
    if context.leaving:
        return failures.Reason.ENDPOINT_LEAVING
    if item.work.isolated:
        return None
    if not queue.reachable:
        return failures.Reason.ENDPOINT_UNREACHABLE
    adapter = item.work.adapter
    failed = adapter in queue.load_retry_ms and adapter not in queue.residents
    over = load_plans.is_over_quota(queue, context, adapter, item.work.member)
    if (failed or over) and adapter in context.placement.elsewhere:
        return failures.Reason.LOAD_FAILED
    return failures.Reason.WARM_QUOTA if over else None


def rank_waiting(
    queue: states.EndpointQueue, context: contexts.EndpointContext, now_ms: int
) -> list[states.Waiting]:
    """Return the waiting work, most urgent first.

    Work of members within their shares goes before that of others, then work
    that has waited for half of the limit of its class, then lower class ranks
    before higher ones. Work of a high rank therefore waits at most for half
    of its limit and then for a slot of its class, or for one of the slots that
    old work may take from work of a lower rank.
    """
    # The part of the key that work of a member and a class has in common.
    # With hundreds of items, the look-ups for each took most of a plan.
    shared = _rank_groups(queue, context)
    lowest = min((group.rank for group in shared.values()), default=0)
    only_rank = lowest if _is_aged_full(queue, context, lowest) else None

    def rank(item: states.Waiting) -> tuple[bool, bool, int, float, int]:
        group = shared[item.work.member, item.work.work_class]
        aged = 2 * (now_ms - item.queued_ms) >= group.queue_timeout_ms
        if aged and only_rank in (None, group.rank):
            return group.leads, False, 0, 0.0, item.queued_ms
        return group.leads, True, group.rank, group.used, item.queued_ms

    return sorted(queue.waiting, key=rank)


def _is_aged_full(
    queue: states.EndpointQueue, context: contexts.EndpointContext, rank: int
) -> bool:
    """Return whether old work may take no more slots from work of a rank."""
    higher = sum(
        contexts.get_class(context.rules, item.work.work_class).rank > rank
        for item in queue.running.values()
    )
    return higher >= max(1, math.floor(context.endpoint.slots * AGED_PART))


@attrs.frozen
class _Group:
    """Work of one member and one class.

    :param leads: whether the member is ahead of its share for this class
    :param used: recent cost of the member by weight
    """

    leads: bool
    rank: int
    used: float
    queue_timeout_ms: int


def _rank_groups(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> dict[tuple[str, str], _Group]:
    groups = {}
    leaders = _find_leaders(queue, context)
    for member, work_class in {
        (item.work.member, item.work.work_class) for item in queue.waiting
    }:
        rule = contexts.get_class(context.rules, work_class)
        weight = shares.get_weight(context.rules, member)
        groups[member, work_class] = _Group(
            member in leaders[rule.rank],
            rule.rank,
            context.usage.get(member, 0.0) / weight,
            rule.queue_timeout_ms,
        )
    return groups


def _find_leaders(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> dict[int, frozenset[str]]:
    """Return the members ahead of their share, by rank of waiting work.

    A member may be further ahead with work of a lower rank, so that its short
    work does not wait behind long work of the others for a small lead.
    """
    ranks = {
        contexts.get_class(context.rules, name).rank
        for name in {item.work.work_class for item in queue.waiting}
    }
    contending = {item.work.member for item in queue.waiting}
    return {
        rank: shares.find_leaders(
            context.usage,
            context.rules,
            contending,
            shares.get_tolerance(max(ranks) - rank),
        )
        for rank in ranks
    }


def _choose_starts(
    queue: states.EndpointQueue,
    context: contexts.EndpointContext,
    waiting: list[states.Waiting],
) -> Iterator[str]:
    slots = context.endpoint.slots
    if queue.pace.trial_slots is not None:
        slots = min(slots, queue.pace.trial_slots)
    running = [item.work for item in queue.running.values()]
    # Resumed work starts beside whatever runs, so that isolated work need not
    # be the first or the only one.
    if any(work.isolated for work in running):
        return
    for item in waiting:
        if len(running) >= slots:
            return
        if not queue.is_ready(item.work.adapter):
            continue
        if running and item.work.isolated:
            # Nothing of a later place starts, or the endpoint would never be
            # empty under load and the isolated work would wait for ever.
            return
        rule = contexts.get_class(context.rules, item.work.work_class)
        of_class = sum(
            work.work_class == item.work.work_class for work in running
        )
        if of_class >= contexts.count_slots(rule, slots):
            continue
        running.append(item.work)
        yield item.work.attempt
        if item.work.isolated:
            return
