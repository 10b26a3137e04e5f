"""Admission control: rules that refuse work before it is queued."""

from __future__ import annotations

from collections.abc import Callable
import math

import attrs

from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.core import registry
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import state as states
from bronzetrack.streaming import messages

MIN_RETRY_AFTER_MS = 250


@attrs.frozen
class Admission:
    """Work that arrives at the owner of an endpoint.

    :param queue: queue of the endpoint
    :param slots: requests that the endpoint can run concurrently
    :param queue_requests: maximum number of requests in the queue
    """

    work: messages.SubmitWork
    queue: states.EndpointQueue
    rules: rule_sets.Rules
    slots: int
    queue_requests: int


AdmissionRule = Callable[[Admission], failures.Failure | None]

RULES: registry.Registry[AdmissionRule] = registry.Registry("admission rules")


def check_admission(admission: Admission) -> failures.Failure | None:
    """Return the reason to refuse the work, None if it is admitted."""
    refusals = (rule(admission) for _, rule in RULES.items())
    return next((item for item in refusals if item is not None), None)


@RULES.register("queue_length")
def check_length(admission: Admission) -> failures.Failure | None:
    """Refuse work if the queue is full, to bound the memory that it takes."""
    limit = admission.queue_requests
    if len(admission.queue.waiting) < limit:
        return None
    return failures.Failure(
        failures.Reason.QUEUE_FULL,
        f"{limit} requests wait",
        retry_after_ms=1_000,
        limit="limits.queue_requests",
    )


@RULES.register("wait_estimate")
def check_wait(admission: Admission) -> failures.Failure | None:
    """Refuse work that would time out in the queue.

    Work that waits in vain takes slots from work that can still be answered
    in time.
    """
    work = admission.work
    rule = contexts.get_class(admission.rules, work.work_class)
    estimate_ms = estimate_wait_ms(admission)
    if estimate_ms <= rule.queue_timeout_ms:
        return None
    return failures.Failure(
        failures.Reason.QUEUE_FULL,
        f"about {estimate_ms:.0f} ms of work waits",
        retry_after_ms=max(
            MIN_RETRY_AFTER_MS, math.ceil(estimate_ms - rule.queue_timeout_ms)
        ),
        limit=f"classes.{work.work_class}.queue_timeout_ms",
    )


def estimate_wait_ms(admission: Admission) -> float:
    """Return the estimated time until a slot is free, in milliseconds.

    The estimate counts waiting work of the same or a lower rank that does not
    wait for a load. It assumes that each slot produces one token in the
    observed time between chunks, and that the class has its share of the
    slots.
    """
    rules = admission.rules
    own = contexts.get_class(rules, admission.work.work_class)
    classes = {item.work.work_class for item in admission.queue.waiting}
    before = {
        name
        for name in classes
        if contexts.get_class(rules, name).rank <= own.rank
    }
    ahead = sum(
        item.work.cost
        for item in admission.queue.waiting
        if item.work.work_class in before
        and admission.queue.is_ready(item.work.adapter)
    )
    slots = contexts.count_slots(own, admission.slots)
    return ahead * admission.queue.pace.chunk_ms / slots
