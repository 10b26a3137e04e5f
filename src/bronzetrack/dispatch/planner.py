"""Planning of the next actions of the owner of an endpoint."""

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

# Time after which every VM has received a change in a heartbeat.
HEARTBEAT_PROPAGATION_MS = 1_200
# Aged work precedes work of a lower rank only while less than this share of
# the slots runs work of higher ranks. Without the bound, all long work was
# aged at a load of twice the capacity, and short work started too late.
AGED_SLOT_SHARE = 0.25


@attrs.frozen
class Plan:
    """Holds the actions that are due for one endpoint.

    :param start: attempts to dispatch now
    :param refuse: attempts to refuse, with the failure
    :param loads: adapters to load and to evict
    :param fence: loaded adapter version to load again, which has no effect
        except that the engine sees the fencing token
    """

    start: tuple[str, ...] = ()
    refuse: tuple[tuple[str, failures.Failure], ...] = ()
    loads: load_plans.LoadPlan = attrs.field(factory=load_plans.LoadPlan)
    fence: str | None = None


def plan_endpoint(
    queue: states.EndpointQueue, context: contexts.EndpointContext, now_ms: int
) -> Plan:
    """Return the actions that are due for one endpoint."""
    # Each attempt is refused once. If several reasons apply, the last one
    # is used.
    refusals = dict(
        itertools.chain(
            _find_unservable(queue, context),
            _find_sent_before_slow(queue),
            _find_timeouts(queue, context.rules, now_ms),
        )
    )
    refused = tuple(refusals.items())
    waiting = [
        item
        for item in rank_waiting(queue, context, now_ms)
        if item.work.attempt not in refusals
    ]
    if _needs_fence(queue, context):
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


def _needs_fence(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> bool:
    """Return whether a former owner could still evict loaded adapters.

    An engine that checks fencing tokens rejects the orders of a former owner
    only after it has seen the fencing token of the current owner.
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
                f"the request waited {waited_ms} ms in the queue",
                retry_after_ms=1_000,
                limit=f"classes.{item.work.work_class}.queue_timeout_ms",
            )


def _find_sent_before_slow(
    queue: states.EndpointQueue,
) -> Iterator[tuple[str, failures.Failure]]:
    """Yield refusals of work that was sent before the slowness was known.

    The senders retry this work at other endpoints. Work that arrives later
    was sent here because the other endpoints are worse. Isolated work stays,
    since all VMs send it to the same endpoint.
    """
    if not queue.pace.slow:
        return
    for item in queue.waiting:
        lag_ms = item.queued_ms - queue.pace.slow_since_ms
        if lag_ms < HEARTBEAT_PROPAGATION_MS and not item.work.isolated:
            yield item.work.attempt, failures.Failure(
                failures.Reason.ENDPOINT_SLOW,
                "the endpoint answers slower than its peers",
                retry_after_ms=1_000,
            )


def _find_unservable(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> Iterator[tuple[str, failures.Failure]]:
    """Yield refusals of queued work that this endpoint cannot run now.

    The senders retry the work at other endpoints. Isolated work stays unless
    the endpoint is leaving or may have another owner, since all VMs send it
    to the same endpoint.
    """
    # Each reason requires one of these conditions, and few endpoints meet any.
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

    Work of members within their shares precedes that of other members. Next
    comes aged work, which has waited for half of the queue time-out of its
    class, and then lower class ranks before higher ones. Work of a high rank
    therefore waits for at most half of its time-out, and then for a slot of
    its class or for one of the slots that aged work may take from work of a
    lower rank.
    """
    # The sort key values that all work of a member and a class shares. With
    # hundreds of items, looking them up for each item took most of the
    # planning time.
    groups = _group_waiting(queue, context)
    lowest = min((group.rank for group in groups.values()), default=0)
    aged_rank = lowest if _is_aged_share_used(queue, context, lowest) else None

    def rank(item: states.Waiting) -> tuple[bool, bool, int, float, int]:
        group = groups[item.work.member, item.work.work_class]
        aged = 2 * (now_ms - item.queued_ms) >= group.queue_timeout_ms
        if aged and aged_rank in (None, group.rank):
            return group.over_share, False, 0, 0.0, item.queued_ms
        return (
            group.over_share,
            True,
            group.rank,
            group.weighted_usage,
            item.queued_ms,
        )

    return sorted(queue.waiting, key=rank)


def _is_aged_share_used(
    queue: states.EndpointQueue, context: contexts.EndpointContext, rank: int
) -> bool:
    """Return whether aged work may take no more slots from work of a rank.

    :param rank: the lowest class rank of the waiting work
    """
    higher = sum(
        contexts.get_class(context.rules, item.work.work_class).rank > rank
        for item in queue.running.values()
    )
    return higher >= max(
        1, math.floor(context.endpoint.slots * AGED_SLOT_SHARE)
    )


@attrs.frozen
class _WaitingGroup:
    """Sort key values of the waiting work of one member and one class.

    :param over_share: whether the member exceeds its share for this class
    :param rank: rank of the class
    :param weighted_usage: recent cost of the member divided by its weight
    :param queue_timeout_ms: queue time-out of the class
    """

    over_share: bool
    rank: int
    weighted_usage: float
    queue_timeout_ms: int


def _group_waiting(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> dict[tuple[str, str], _WaitingGroup]:
    groups = {}
    over_share = _find_over_share(queue, context)
    for member, work_class in {
        (item.work.member, item.work.work_class) for item in queue.waiting
    }:
        rule = contexts.get_class(context.rules, work_class)
        weight = shares.get_weight(context.rules, member)
        groups[member, work_class] = _WaitingGroup(
            member in over_share[rule.rank],
            rule.rank,
            context.usage.get(member, 0.0) / weight,
            rule.queue_timeout_ms,
        )
    return groups


def _find_over_share(
    queue: states.EndpointQueue, context: contexts.EndpointContext
) -> dict[int, frozenset[str]]:
    """Return the members that exceed their shares, by rank of waiting work.

    The tolerance is larger for work of a lower rank, so that the short work
    of a member that exceeds its share slightly does not wait behind long work
    of other members.
    """
    ranks = {
        contexts.get_class(context.rules, name).rank
        for name in {item.work.work_class for item in queue.waiting}
    }
    contending = {item.work.member for item in queue.waiting}
    return {
        rank: shares.find_over_share(
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
    # Resumed work starts regardless of what is running, so isolated work is
    # not necessarily the first or the only work.
    if any(work.isolated for work in running):
        return
    for item in waiting:
        if len(running) >= slots:
            return
        if not queue.is_ready(item.work.adapter):
            continue
        if running and item.work.isolated:
            # No later item may start. Otherwise the endpoint would never be
            # empty under load and the isolated work would never start.
            return
        rule = contexts.get_class(context.rules, item.work.work_class)
        class_running = sum(
            work.work_class == item.work.work_class for work in running
        )
        if class_running >= contexts.count_slots(rule, slots):
            continue
        running.append(item.work)
        yield item.work.attempt
        if item.work.isolated:
            return
