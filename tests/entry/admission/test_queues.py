"""Tests of the order of waiting requests, and of how often they look."""

from __future__ import annotations

import asyncio
import itertools

from entry.admission import replay
import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.entry.admission import fullness
from bronzetrack.entry.admission import gate
from bronzetrack.entry.admission import queues
from bronzetrack.entry.admission import ranking
from bronzetrack.entry.admission import state as states
from bronzetrack.entry.forwarding import selection

ENGINE = "e0"
CROWD = 600
# Seconds after the arrivals, when all requests wait, and of the measurement.
LEAD_S = 1.0
WINDOW_S = 3.0

CLAIMS = strategies.builds(
    ranking.Claim,
    arrived_at=strategies.floats(0, 3),
    target_s=strategies.sampled_from([0.3, 0.6, 4.0]),
    likely_s=strategies.floats(0, 1),
    priority=strategies.integers(0, 2),
    is_first=strategies.booleans(),
    has_begun=strategies.booleans(),
)


@hypothesis.given(
    strategies.lists(CLAIMS, max_size=20),
    strategies.sets(strategies.integers(0, 19)),
    strategies.floats(0, 8),
    strategies.booleans(),
    strategies.booleans(),
)
def test_next_request_is_that_of_a_look_through_all(
    claims, removed, now, is_busy, is_open
):
    """Guards against an order that differs from the stated one."""
    state = states.AdmissionState()
    full = state.full[ENGINE] = fullness.Fullness(
        first_at=0.0, repeat_at=0.0 if is_open else 9.0
    )
    waiters = [states.Waiter(claim) for claim in claims]
    for waiter in waiters:
        state.place(waiter, frozenset({ENGINE, "e1"}))
    for index in removed:
        if index < len(waiters):
            state.remove(waiters[index])
    left = [w for n, w in enumerate(waiters) if n not in removed]
    report = fullness.Report(1, is_busy)
    allowed = [
        item.claim for item in left if full.may_send(item.claim, now, report)
    ]
    expected = ranking.choose_next(allowed, 0, now)
    found = state.find_next(ENGINE, now, report)
    if expected is None:
        assert found is None
    else:
        assert ranking.rank(found.claim, now) == ranking.rank(expected, now)
    assert state.count_waiters(ENGINE) == len(left)


@hypothesis.given(
    strategies.lists(CLAIMS, min_size=1, max_size=20), strategies.floats(0, 8)
)
def test_first_requests_are_one_for_each_kind_and_time_left(claims, now):
    """Guards against a request that nobody finds."""
    queue = queues.WaitingQueue()
    for claim in claims:
        queue.add(claim, None)
    found = [
        (
            queues._find_kind(entry.claim),
            entry.claim.is_late(now),
            entry.claim.yields(now),
        )
        for entry in queue.list_first(now)
    ]
    assert len(found) == len(set(found))
    assert set(found) == {
        (queues._find_kind(item), item.is_late(now), item.yields(now))
        for item in claims
    }


@pytest.fixture
def looks(monkeypatch) -> list[float]:
    """Return the times at which requests look for an endpoint."""
    times: list[float] = []
    find = selection.EndpointSelector._find_endpoint

    def find_and_count(self, *arguments):
        times.append(self.read_clock())
        return find(self, *arguments)

    monkeypatch.setattr(
        selection.EndpointSelector, "_find_endpoint", find_and_count
    )
    return times


def test_number_of_looks_does_not_grow_with_the_crowd(looks):
    """Guards against waiting requests that keep a VM from all others."""
    crowd = replay.Replay("on", vms=1)
    crowd.add_engine(ENGINE, "a")
    kind = replay.Kind(rate_per_s=0.0, leaves_s=30.0, run_s=0.5)

    async def wait() -> None:
        (controller,) = crowd.controllers
        tasks = [
            asyncio.ensure_future(crowd._serve(controller, kind))
            for _ in range(CROWD)
        ]
        await asyncio.sleep(LEAD_S + WINDOW_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    started_at = crowd.loop.time()
    crowd.loop.run_until_complete(wait())
    served = sum(result.started for result in crowd.results)
    late = list(
        itertools.dropwhile(lambda at: at < started_at + LEAD_S, looks)
    )
    # Beside the regular ones: the first requests that wait, at each event.
    allowed = WINDOW_S * gate.RECHECKS_PER_S + 10 * served
    assert served > 16
    assert len(late) < allowed
