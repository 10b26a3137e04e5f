"""Which engine loads an adapter, and what it drops."""

from __future__ import annotations

from bronzetrack.entry import loading
from bronzetrack.entry import loadstate
from bronzetrack.entry import loadtimes

LOADS = {}


def settle(state, endpoint, now):
    """Return the state of an engine after its first report."""
    known = state.find_engine(endpoint)
    known.check_at = None
    known.held = dict(endpoint.adapters)
    return known


def test_full_engine_drops_the_least_used_idle_adapter(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against evicting hot adapters in favour of rare ones."""
    endpoint = make_endpoint("e", "hot", "cold")
    settle(state, endpoint, now)
    state.heat[("m", "hot")] = (5.0, now)
    state.heat[("m", "cold")] = (0.1, now)
    plan = loading.plan_load(
        [endpoint], make_demand("new"), state, LOADS, engine, now
    )
    assert plan is not None
    assert plan.victim == ("m", "cold")


def test_adapter_in_use_is_never_dropped(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against evicting an adapter that serves a request."""
    endpoint = make_endpoint("e", "a", "b")
    settle(state, endpoint, now)
    state.note_uses({("e", ("m", "a")): 1, ("e", ("m", "b")): 1}, now)
    plan = loading.plan_load(
        [endpoint], make_demand("new"), state, LOADS, engine, now
    )
    assert plan is None


def test_adapters_on_their_way_take_places(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against an order for more adapters than there are places.

    An engine that is given one crashes, with all its streams.
    """
    endpoint = make_endpoint("e")
    known = settle(state, endpoint, now)
    known.held = {("m", "x"): 1, ("m", "y"): 1}
    known.pending = {("m", "x"): now + 0.2, ("m", "y"): now + 0.2}
    plan = loading.plan_load(
        [endpoint], make_demand("new"), state, LOADS, engine, now
    )
    assert plan is None


def test_adapter_being_dropped_takes_a_place(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against counting a place as free while requests run there."""
    endpoint = make_endpoint("e", "a", "b")
    known = settle(state, endpoint, now)
    known.unloading = {("m", "a"), ("m", "b")}
    plan = loading.plan_load(
        [endpoint], make_demand("new"), state, LOADS, engine, now
    )
    assert plan is None


def test_new_version_replaces_a_dropped_old_one(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against a replacement that needs a place of its own."""
    endpoint = make_endpoint("e", "a", "b")
    settle(state, endpoint, now)
    plan = loading.plan_load(
        [endpoint], make_demand("a", version=2), state, LOADS, engine, now
    )
    assert plan is not None
    assert plan.victim == ("m", "a")


def test_copy_is_loaded_where_the_adapter_is_not_held(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against a copy that is loaded again by its only holder.

    A stream that broke off there waited 0.6 s for another engine in vain.
    """
    holder, other = make_endpoint("e1", "a"), make_endpoint("e2")
    for item in (holder, other):
        settle(state, item, now)
    state.find_engine(holder).note_seen(("m", "a"))
    demand = make_demand("a", copies=2)
    engines = [holder, other]
    holders = loading.list_holders(engines, demand, state, now)
    fitting = loading.prefer_warm(
        engines, engines, holders, demand, state, now
    )
    assert fitting == [other]


def test_copy_waits_for_an_engine_that_had_the_adapter(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against a fetch from the store where memory has the adapter."""
    holder, earlier, other = (
        make_endpoint("e1", "a"),
        make_endpoint("e2"),
        make_endpoint("e3"),
    )
    for item in (holder, earlier, other):
        settle(state, item, now)
    for item in (holder, earlier):
        state.find_engine(item).note_seen(("m", "a"))
    demand = make_demand("a", copies=2)
    candidates = [holder, earlier, other]
    holders = loading.list_holders(candidates, demand, state, now)
    fitting = loading.prefer_warm(
        candidates, candidates, holders, demand, state, now
    )
    assert fitting == [earlier]


def test_fresh_adapter_is_kept_until_its_first_use(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against dropping an adapter before its waiting request came."""
    endpoint = make_endpoint("e", "a", "b")
    known = settle(state, endpoint, now)
    known.loaded_at = {("m", "a"): now - 0.1, ("m", "b"): now - 0.1}
    demand = make_demand("new")
    assert (
        loading.plan_load([endpoint], demand, state, LOADS, engine, now)
        is None
    )
    later = now + loading.KEEP_LOADED_S
    assert loading.plan_load([endpoint], demand, state, LOADS, engine, later)


def test_new_holder_of_the_lease_drops_nothing_at_first(
    make_endpoint, make_demand, engine, now
):
    """Guards against dropping adapters whose use was not heard of yet."""
    state = loadstate.LoadingState(started_at=now)
    endpoint = make_endpoint("e", "a", "b")
    settle(state, endpoint, now)
    demand = make_demand("new")
    assert not loading.has_room(endpoint, state, engine, now)
    assert (
        loading.plan_load([endpoint], demand, state, LOADS, engine, now)
        is None
    )
    later = now + 2 * loading.LISTEN_S
    assert loading.has_room(endpoint, state, engine, later)


def test_engine_is_asked_for_a_report_before_its_first_order(
    make_endpoint, state, now
):
    """Guards against orders with a sequence that was only guessed."""
    endpoint = make_endpoint("e")
    assert not loading.can_order(endpoint, state, now)
    settle(state, endpoint, now)
    assert loading.can_order(endpoint, state, now)


def test_state_of_a_long_term_stays_bounded(make_endpoint, state, now):
    """Guards against memory that grows with every adapter ever used."""
    endpoint = make_endpoint("e", "held")
    known = settle(state, endpoint, now)
    for number in range(3_000):
        need = ("m", f"a{number}")
        state.note_uses({("e", need): 1}, now + 0.01 * number)
        known.note_seen(need)
        known.loaded_at[need] = now
        known.kinds[need] = loadtimes.UNKNOWN_KIND
    state.note_uses({("e", ("m", "held")): 1}, now + 500)
    state.forget(now + 500)
    assert set(state.used_at) == {("e", ("m", "held"))}
    assert set(state.heat) == {("m", "held")}
    assert len(known.seen) == loadstate.MOST_SEEN
    assert known.has_seen(("m", "a2999"))
    assert not known.has_seen(("m", "a0"))
    assert not known.loaded_at
    assert not known.kinds


def test_restarted_engine_is_a_new_one(make_endpoint, state, now):
    """Guards against counts of an engine that has forgotten everything."""
    known = settle(state, make_endpoint("e", "a", started_ms=1), now)
    known.sequence = 9
    again = state.find_engine(make_endpoint("e", started_ms=2))
    assert again.sequence == 0
    assert not again.held


def test_silent_engine_holds_nothing(make_endpoint, state, make_demand, now):
    """Guards against waiting for an engine that nobody reaches."""
    endpoint = make_endpoint("e", "a")
    known = settle(state, endpoint, now)
    demand = make_demand("a")
    assert loading.list_holders([endpoint], demand, state, now)
    known.silent_until = now + 1
    assert not loading.list_holders([endpoint], demand, state, now)


def test_burst_serves_those_that_can_be_on_time_first(make_demand, now):
    """Guards against a burst in which every request is late in its turn.

    Replays the crest of a swing: more adapters are asked for than places
    turn over, and the oldest demands can no longer be on time.
    """
    margin_s = 0.4
    late = make_demand("late", due=now - 1.0)
    lost = make_demand("lost", due=now - 2.0)
    urgent = make_demand("urgent", due=now + 0.5)
    relaxed = make_demand("relaxed", due=now + 0.9)
    copy = make_demand("copy", due=now + 0.5, copies=2)
    ordered = loading.order_demands(
        [lost, copy, late, relaxed, urgent], margin_s, now
    )
    assert ordered == [urgent, relaxed, late, lost, copy]


def test_load_times_are_learnt_from_both_sides():
    """Guards against an expectation that falls towards zero."""
    times = loadtimes.LoadTimes()
    kind = loadtimes.LoadKind(False, 0)
    actual_s = 0.5
    early = 0
    for _ in range(2_000):
        if times.expect(kind) < actual_s:
            early += 1
            times.note_early(kind)
        else:
            times.note_announced(kind)
    assert abs(times.expect(kind) - actual_s) < 0.1 * actual_s
    assert early < 100


def test_adapter_goes_back_to_the_engine_that_had_it(
    make_endpoint, state, make_demand, engine, now
):
    """Guards against fetching again what an engine still has in memory."""
    endpoints = [make_endpoint(f"e{index}") for index in range(6)]
    for endpoint in endpoints:
        settle(state, endpoint, now)
    demand = make_demand("a")
    first = loading.plan_load(endpoints, demand, state, LOADS, engine, now)
    again = loading.plan_load(
        endpoints[::-1], demand, state, LOADS, engine, now + 20
    )
    assert first is not None
    assert again is not None
    assert first.endpoint is again.endpoint


def test_demand_waits_a_moment_for_an_engine_that_had_the_adapter(
    make_endpoint, state, make_demand, now
):
    """Guards against fetching again what another engine has in memory.

    Replays a burst in which 724 adapters were fetched 1,087 times.
    """
    warm, cold = make_endpoint("warm"), make_endpoint("cold")
    settle(state, warm, now).note_seen(("m", "a"))
    settle(state, cold, now)
    demand = make_demand("a")
    engines = [warm, cold]
    assert not loading.prefer_warm([cold], engines, [], demand, state, now)
    assert loading.prefer_warm(engines, engines, [], demand, state, now) == [
        warm
    ]
    later = now + 2 * loading.WARM_WAIT_S
    assert loading.prefer_warm([cold], engines, [], demand, state, later) == [
        cold
    ]
    other = make_demand("b")
    assert loading.prefer_warm([cold], engines, [], other, state, now) == [
        cold
    ]


def test_demand_that_is_asked_for_often_becomes_urgent(make_demand, now):
    """Guards against a hot adapter that waits behind all rare ones.

    Replays a new version of a hot adapter in a burst: each new request put
    off the time at which the demand was due, and none was served.
    """
    hot = make_demand("hot", due=now + 0.8)
    rare = make_demand("rare", due=now + 0.7)
    for step in range(5):
        hot.note_due(now + 0.8 + 0.1 * step, now + 0.4)
    assert hot.due == now + 0.8
    later = now + 0.2
    assert loading.order_demands([hot, rare], 0.4, later)[0] is rare
    hot.note_due(later + 0.45, later + 0.4)
    assert loading.order_demands([rare, hot], 0.4, later) == [hot, rare]
    assert hot.due == later + 0.45


def test_late_demand_takes_the_latest_of_its_requests(make_demand, now):
    """Guards against a demand that stays late after a fresh request."""
    demand = make_demand("a", due=now - 1.0)
    demand.note_due(now + 0.9, now + 0.4)
    assert demand.due == now + 0.9
    demand.note_due(now - 2.0, now + 0.4)
    assert demand.due == now + 0.9
