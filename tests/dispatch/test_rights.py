"""Tests of the conditions for starting and refusing queued work."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import placement as placements
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.limits import quotas


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
def queue(make_waiting) -> states.EndpointQueue:
    """Return a queue with one request whose adapter is loaded."""
    ready = states.Resident(states.ResidentPhase.READY, 0)
    return states.EndpointQueue(
        waiting=(make_waiting("t1", member="m", timeout_ms=10_000),),
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
    """Guards against repeated fences to an engine that answers slowly."""
    sent = attrs.evolve(queue, fence_retry_ms=1_000)
    assert planner.plan_endpoint(sent, context, 999).fence is None
    assert planner.plan_endpoint(sent, context, 1_000).fence == "a@1"


def test_nothing_starts_unless_dispatch_is_allowed(queue, context):
    """Guards against work that a paused former owner starts."""
    fenced = attrs.evolve(queue, fenced=True)
    no_dispatch = attrs.evolve(context, may_start=False)
    assert planner.plan_endpoint(fenced, no_dispatch, 0).start == ()


def test_superseded_owner_refuses_its_queue(queue, context):
    """Guards against work that waits at an owner that never starts it."""
    fenced = attrs.evolve(queue, fenced=True)
    no_dispatch = attrs.evolve(context, may_start=False, superseded=True)
    plan = planner.plan_endpoint(fenced, no_dispatch, 0)
    assert plan.start == ()
    ((attempt, failure),) = plan.refuse
    assert (attempt, failure.reason) == ("t1", failures.Reason.LEASE_LAPSED)


def test_leaving_endpoint_refuses_its_queue(queue, context):
    """Guards against work that starts at an endpoint that is leaving."""
    fenced = attrs.evolve(queue, fenced=True)
    leaving = attrs.evolve(context, leaving=True)
    plan = planner.plan_endpoint(fenced, leaving, 0)
    assert plan.start == ()
    assert [attempt for attempt, _ in plan.refuse] == ["t1"]


def list_refusals(queue, context):
    plan = planner.plan_endpoint(queue, context, 0)
    return [(attempt, item.reason) for attempt, item in plan.refuse]


def test_unreachable_endpoint_refuses_its_queue(queue, context):
    """Guards against a request that waits for a load at a crashed engine."""
    unreachable = attrs.evolve(queue, reachable=False)
    assert list_refusals(unreachable, context) == [
        ("t1", failures.Reason.ENDPOINT_UNREACHABLE)
    ]


def test_failed_load_refuses_work_that_is_warm_elsewhere(queue, context):
    """Guards against a wait in a store outage despite a copy elsewhere."""
    cold = attrs.evolve(queue, residents={}, load_retry_ms={"a@1": 1_000})
    assert list_refusals(cold, context) == []
    warm = placements.Placement(elsewhere=frozenset({"a@1"}))
    warm_elsewhere = attrs.evolve(context, placement=warm)
    assert list_refusals(cold, warm_elsewhere) == [
        ("t1", failures.Reason.LOAD_FAILED)
    ]


def test_member_at_its_quota_evicts_its_own_adapter(queue, context):
    """Guards against loads beyond a quota and evictions of other members."""
    idle = states.Resident(states.ResidentPhase.READY, 0)
    cold = attrs.evolve(
        queue, residents={"b@1": idle, "c@1": idle}, fenced=True
    )
    view = quotas.QuotaView({"m": 0}, {}, {"b@1": "m", "c@1": "other"})
    full = attrs.evolve(context, quotas=view)
    plan = planner.plan_endpoint(cold, full, 0)
    assert plan.loads.load == ()
    assert plan.loads.unload == ("b@1",)
    assert plan.refuse == ()


def test_work_beyond_the_quota_is_refused_with_its_limit(queue, context):
    """Guards against a wait for a load that the quota never allows."""
    cold = attrs.evolve(queue, residents={})
    full = attrs.evolve(context, quotas=quotas.QuotaView({"m": 0}))
    plan = planner.plan_endpoint(cold, full, 0)
    ((attempt, failure),) = plan.refuse
    assert failure.reason is failures.Reason.WARM_QUOTA
    assert failure.limit == "members.m.warm_adapters"
    assert plan.loads.load == ()


def test_attempt_is_refused_once(queue, context):
    """Guards against two failures for one attempt with two reasons."""
    leaving = attrs.evolve(context, leaving=True)
    plan = planner.plan_endpoint(queue, leaving, 10_000)
    ((attempt, failure),) = plan.refuse
    assert attempt == "t1"
    assert failure.reason is failures.Reason.QUEUE_TIMEOUT
