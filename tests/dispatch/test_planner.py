"""Tests of what owners do next."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.streaming import messages


@pytest.fixture
def context() -> contexts.EndpointContext:
    return contexts.EndpointContext(
        endpoint=inventories.Endpoint(
            "10.0.0.1", 8000, "zone-a", checks_fencing=True
        ),
        rules=rule_sets.Rules(),
        may_load=True,
        may_unload=True,
        load_permits=1,
    )


@pytest.fixture
def queue() -> states.EndpointQueue:
    """One request waits for an adapter that is loaded."""
    work = messages.SubmitWork(
        attempt="t1",
        request="r1",
        endpoint="e1",
        member="m",
        adapter="a@1",
        work_class="normal",
        method="POST",
        path="/v1/completions",
        body=b"",
        timeout_ms=10_000,
    )
    ready = states.Resident(states.ResidentPhase.READY, 0)
    return states.EndpointQueue(
        waiting=(states.Waiting(work, "vm-0", 0),),
        residents={"a@1": ready},
        boot="b1",
    )


def test_nothing_starts_before_the_fence(queue, context):
    """Guards against an eviction by a former owner during a request."""
    plan = planner.plan_endpoint(queue, context, 0)
    assert plan.fence == "a@1"
    assert plan.start == ()
    fenced = attrs.evolve(queue, fenced=True)
    assert planner.plan_endpoint(fenced, context, 0).start == ("t1",)


def test_fence_is_not_sent_twice_at_once(queue, context):
    """Guards against a flood of orders to an engine that is slow."""
    sent = attrs.evolve(queue, fence_retry_ms=1_000)
    assert planner.plan_endpoint(sent, context, 999).fence is None
    assert planner.plan_endpoint(sent, context, 1_000).fence == "a@1"


def test_nothing_starts_without_the_right_to_dispatch(queue, context):
    """Guards against work that a paused former owner starts."""
    fenced = attrs.evolve(queue, fenced=True)
    barred = attrs.evolve(context, may_start=False)
    assert planner.plan_endpoint(fenced, barred, 0).start == ()


def test_leaving_endpoint_hands_back_its_queue(queue, context):
    """Guards against new work on an endpoint long after it said it leaves."""
    fenced = attrs.evolve(queue, fenced=True)
    leaving = attrs.evolve(context, leaving=True)
    plan = planner.plan_endpoint(fenced, leaving, 0)
    assert plan.start == ()
    assert [attempt for attempt, _ in plan.refuse] == ["t1"]
