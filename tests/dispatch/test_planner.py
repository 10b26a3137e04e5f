"""Tests of the plan for one endpoint."""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import placement
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.streaming import messages

ADAPTERS = ("a@1", "b@1", "c@1", "d@1")
MEMBERS = ("north", "south")
CLASSES = {
    "short": rule_sets.ClassRule(0, 1.0, 1_000),
    "long": rule_sets.ClassRule(1, 0.5, 4_000),
}
NOW_MS = 10_000
WORK = strategies.builds(
    messages.SubmitWork,
    attempt=strategies.uuids().map(str),
    request=strategies.just("r"),
    endpoint=strategies.just("engine"),
    member=strategies.sampled_from(MEMBERS),
    adapter=strategies.sampled_from(("", *ADAPTERS)),
    work_class=strategies.sampled_from(tuple(CLASSES)),
    method=strategies.just("POST"),
    path=strategies.just("/"),
    body=strategies.just(b""),
    timeout_ms=strategies.sampled_from((500, 60_000)),
    isolated=strategies.sampled_from((False, False, False, True)),
)
WAITING = strategies.builds(
    states.Waiting,
    WORK,
    strategies.just("vm"),
    strategies.integers(NOW_MS - 5_000, NOW_MS),
)
RESIDENTS = strategies.dictionaries(
    strategies.sampled_from(ADAPTERS),
    strategies.builds(
        states.Resident,
        strategies.sampled_from(list(states.ResidentPhase)),
        strategies.integers(0, NOW_MS),
        strategies.booleans(),
    ),
)
QUEUES = strategies.builds(
    states.EndpointQueue,
    waiting=strategies.lists(WAITING, max_size=8).map(tuple),
    running=strategies.lists(WORK, max_size=4).map(
        lambda items: {
            work.attempt: states.Running(work, "vm", 0) for work in items
        }
    ),
    residents=RESIDENTS,
    load_retry_ms=strategies.dictionaries(
        strategies.sampled_from(ADAPTERS),
        strategies.sampled_from((0, NOW_MS + 1)),
    ),
    boot=strategies.just("1"),
    pace=strategies.builds(
        paces.Pace,
        slow=strategies.booleans(),
        slow_since_ms=strategies.sampled_from((0, NOW_MS - 1_000)),
        trial_slots=strategies.sampled_from((None, 2)),
    ),
)
CONTEXTS = strategies.builds(
    contexts.EndpointContext,
    endpoint=strategies.builds(
        inventories.Endpoint,
        host=strategies.just("127.0.0.1"),
        port=strategies.just(1),
        availability_zone=strategies.just("a"),
        slots=strategies.integers(1, 6),
        adapter_slots=strategies.integers(1, 4),
    ),
    rules=strategies.just(rule_sets.Rules(classes=CLASSES)),
    may_load=strategies.booleans(),
    may_unload=strategies.booleans(),
    load_permits=strategies.integers(0, 3),
    usage=strategies.dictionaries(
        strategies.sampled_from(MEMBERS), strategies.floats(0, 100)
    ),
    placement=strategies.builds(
        placement.Placement,
        wanted=strategies.sampled_from(((), ("a@1",), ("c@1", "d@1"))),
        elsewhere=strategies.sampled_from((frozenset(), {"b@1"})),
    ),
    may_prefetch=strategies.booleans(),
)


def _find_next_start(queue, context, ranked, running):
    """Return the first work that the rules allow to start now."""
    slots = context.endpoint.slots
    if queue.pace.trial_slots is not None:
        slots = min(slots, queue.pace.trial_slots)
    for item in ranked:
        work = item.work
        resident = queue.residents.get(work.adapter)
        ready = not work.adapter or (
            resident is not None
            and resident.phase is states.ResidentPhase.READY
        )
        if not ready:
            continue
        if len(running) >= slots or any(other.isolated for other in running):
            return None
        if running and work.isolated:
            return None
        rule = CLASSES[work.work_class]
        same = [r for r in running if r.work_class == work.work_class]
        if len(same) < max(1, int(slots * rule.slot_share)):
            return work
    return None


@hypothesis.given(QUEUES, CONTEXTS)
def test_starts_match_sequential_reference(queue, context):
    """Guards against starts that the rules do not allow one after another."""
    plan = planner.plan_endpoint(queue, context, NOW_MS)
    refused = {attempt for attempt, _ in plan.refuse}
    left = [
        item
        for item in planner.rank_waiting(queue, context, NOW_MS)
        if item.work.attempt not in refused
    ]
    running = [item.work for item in queue.running.values()]
    expected = []
    while (
        work := _find_next_start(queue, context, left, running)
    ) is not None:
        expected.append(work.attempt)
        running.append(work)
        left = [item for item in left if item.work is not work]
    assert list(plan.start) == expected


@hypothesis.given(QUEUES, CONTEXTS)
def test_nothing_in_use_is_evicted(queue, context):
    """Guards against the eviction of pinned, loading or inherited adapters."""
    plan = planner.plan_endpoint(queue, context, NOW_MS)
    work = [item.work for item in (*queue.waiting, *queue.running.values())]
    for adapter in plan.loads.unload:
        resident = queue.residents[adapter]
        assert context.may_unload
        assert all(item.adapter != adapter for item in work)
        assert resident.phase is states.ResidentPhase.READY
        assert not resident.inherited


@hypothesis.given(QUEUES, CONTEXTS)
def test_loads_respect_permits_and_slots(queue, context):
    """Guards against loads beyond the permits or the free adapter slots."""
    load = planner.plan_endpoint(queue, context, NOW_MS).loads.load
    free = context.endpoint.adapter_slots - len(queue.residents)
    assert len(load) <= min(max(0, free), context.load_permits)
    assert context.may_load or not load
    assert len(set(load)) == len(load)
    for adapter in load:
        assert adapter not in queue.residents
        assert queue.load_retry_ms.get(adapter, 0) <= NOW_MS


@hypothesis.given(QUEUES, CONTEXTS)
def test_starts_respect_slots_shares_and_isolation(queue, context):
    """Guards against starts beyond the slots, class shares or isolation."""
    plan = planner.plan_endpoint(queue, context, NOW_MS)
    items = {item.work.attempt: item.work for item in queue.waiting}
    started = [items[attempt] for attempt in plan.start]
    running = [item.work for item in queue.running.values()] + started
    if not started:
        return
    assert len(running) <= context.endpoint.slots
    longs = [work for work in started if work.work_class == "long"]
    if longs:
        bound = max(1, context.endpoint.slots // 2)
        assert sum(w.work_class == "long" for w in running) <= bound
    if any(work.isolated for work in running):
        assert len(running) == 1


@pytest.fixture
def context() -> contexts.EndpointContext:
    return contexts.EndpointContext(
        endpoint=inventories.Endpoint("127.0.0.1", 1, "a", slots=4),
        rules=rule_sets.Rules(classes=CLASSES),
        may_load=True,
        may_unload=True,
        load_permits=1,
    )


@pytest.fixture
def full_queue(make_work) -> states.EndpointQueue:
    running = {
        name: states.Running(make_work(name, work_class="short"), "vm", 0)
        for name in ("1", "2", "3")
    }
    return states.EndpointQueue(
        running=running,
        residents={"a@1": states.Resident(states.ResidentPhase.READY, 0)},
        boot="1",
    )


def test_long_work_starts_after_half_its_limit(
    full_queue, context, make_waiting
):
    """Guards against long work that starves behind continuous short work."""
    half_ms = CLASSES["long"].queue_timeout_ms // 2
    for waited_ms, first in ((half_ms - 1, "new"), (half_ms, "old")):
        queue = attrs.evolve(
            full_queue,
            waiting=(
                make_waiting("new", NOW_MS, work_class="short"),
                make_waiting("old", NOW_MS - waited_ms, work_class="long"),
            ),
        )
        plan = planner.plan_endpoint(queue, context, NOW_MS)
        assert plan.start == (first,)


def test_nothing_starts_beside_resumed_isolated_work(
    full_queue, context, make_work, make_waiting
):
    """Guards against work that fails when a suspect crashes the engine."""
    suspect = states.Running(make_work("4", isolated=True), "vm", 0)
    queue = attrs.evolve(
        full_queue,
        running={**full_queue.running, "4": suspect},
        waiting=(make_waiting("new", NOW_MS, work_class="short"),),
    )
    roomy = attrs.evolve(context.endpoint, slots=8)
    context = attrs.evolve(context, endpoint=roomy)
    assert planner.plan_endpoint(queue, context, NOW_MS).start == ()


def test_aged_long_work_leaves_slots_to_short_work(
    full_queue, context, make_waiting
):
    """Guards against short work that waits behind a queue of aged long work.

    Under a load above the capacity all long work is aged, so short work was
    started last regardless of its rank.
    """
    long = states.Running(
        make_waiting("long", work_class="long").work, "vm", 0
    )
    queue = attrs.evolve(
        full_queue,
        running={"1": full_queue.running["1"], "long": long},
        waiting=(
            make_waiting("old", 0, work_class="long", timeout_ms=60_000),
            make_waiting("new", NOW_MS, work_class="short"),
        ),
    )
    rules = rule_sets.Rules(
        classes={**CLASSES, "long": rule_sets.ClassRule(1, 1.0, 15_000)}
    )
    wide = attrs.evolve(context, rules=rules)
    ranked = planner.rank_waiting(queue, wide, NOW_MS)
    assert [item.work.attempt for item in ranked] == ["new", "old"]
    alone = attrs.evolve(queue, waiting=queue.waiting[:1])
    assert planner.plan_endpoint(alone, wide, NOW_MS).start == ("old",)


def test_isolated_work_waits_for_an_empty_endpoint(
    full_queue, context, make_waiting
):
    """Guards against isolated work for which the endpoint is never empty."""
    queue = attrs.evolve(
        full_queue,
        waiting=(
            make_waiting("alone", 9_500, work_class="short", isolated=True),
            make_waiting("later", NOW_MS, work_class="short"),
        ),
    )
    assert planner.plan_endpoint(queue, context, NOW_MS).start == ()
    idle = attrs.evolve(queue, running={})
    assert planner.plan_endpoint(idle, context, NOW_MS).start == ("alone",)
