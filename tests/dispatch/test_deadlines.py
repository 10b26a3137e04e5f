"""Tests of the time until the next planning step of an owner."""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import deadlines
from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import placement
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.dispatch import transitions
from bronzetrack.limits import tokens
from bronzetrack.limits import transfers

NOW_MS = 10_000
ADAPTERS = ("a@1", "b@1", "c@1")
FULL_PERMITS = transfers.Permits(bucket=tokens.TokenBucket(tokens=1.0))
TIMES = strategies.integers(NOW_MS - 3_000, NOW_MS + 3_000)
PAST = strategies.integers(NOW_MS - 3_000, NOW_MS)
QUEUES = strategies.builds(
    states.EndpointQueue,
    residents=strategies.dictionaries(
        strategies.sampled_from(ADAPTERS),
        strategies.builds(
            states.Resident,
            strategies.sampled_from(list(states.ResidentPhase)),
            PAST,
            strategies.booleans(),
        ),
    ),
    load_retry_ms=strategies.dictionaries(
        strategies.sampled_from(ADAPTERS), TIMES
    ),
    boot=strategies.just("1"),
    fenced=strategies.booleans(),
    fence_retry_ms=TIMES,
    pace=strategies.builds(
        paces.Pace,
        chunk_ms=strategies.sampled_from((0.0, 20.0, 60.0)),
        observed_ms=PAST,
        slow=strategies.booleans(),
        trial_slots=strategies.sampled_from((None, 2)),
    ),
)
CONTEXTS = strategies.builds(
    contexts.EndpointContext,
    endpoint=strategies.builds(
        inventories.Endpoint,
        host=strategies.just("127.0.0.1"),
        port=strategies.just(1),
        availability_zone=strategies.just("zone-a"),
        checks_fencing=strategies.booleans(),
    ),
    rules=strategies.just(rule_sets.Rules()),
    may_load=strategies.just(True),
    may_unload=strategies.booleans(),
    load_permits=strategies.just(2),
    placement=strategies.just(placement.Placement(wanted=ADAPTERS)),
    may_prefetch=strategies.just(True),
)


def plan(queue, context, now_ms):
    classified = transitions.classify_pace(queue, (20.0, 20.0), 8, now_ms)
    return classified, planner.plan_endpoint(classified, context, now_ms)


@hypothesis.given(
    QUEUES, CONTEXTS, strategies.integers(0, deadlines.IDLE_INTERVAL_MS)
)
def test_plan_stays_the_same_while_no_timer_is_pending(
    queue, context, passed_ms
):
    """Guards against a deadline that passes while the owner is idle."""
    if not deadlines.has_pending_timer(queue, NOW_MS):
        now_ms = NOW_MS + passed_ms
        assert plan(queue, context, now_ms) == plan(queue, context, NOW_MS)


@pytest.mark.parametrize(
    ("change", "wait_ms"),
    [
        ({}, deadlines.IDLE_INTERVAL_MS),
        ({"usage": {"north": 1.0}}, deadlines.STEP_INTERVAL_MS),
    ],
)
def test_decaying_usage_needs_steps(change, wait_ms):
    """Guards against usage in heartbeats that stops decaying."""
    state = states.DispatchState(endpoints={"e": states.EndpointQueue()})
    state = attrs.evolve(state, **change)
    assert deadlines.get_step_timeout(state, FULL_PERMITS, NOW_MS) == wait_ms


def test_waiting_work_and_missing_tokens_need_steps(make_waiting):
    """Guards against work that waits beyond its time-out."""
    queue = states.EndpointQueue(waiting=(make_waiting("a"),))
    state = states.DispatchState(endpoints={"e": queue})
    wait_ms = deadlines.get_step_timeout(state, FULL_PERMITS, NOW_MS)
    assert wait_ms == deadlines.STEP_INTERVAL_MS
    empty = transfers.Permits()
    wait_ms = deadlines.get_step_timeout(states.DispatchState(), empty, NOW_MS)
    assert wait_ms == deadlines.STEP_INTERVAL_MS
