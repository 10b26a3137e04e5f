"""Budget of sends beyond the first."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from bronzetrack.entry import budget

RATIO, SLACK, WINDOW_S = 0.2, 54.0, 10.0


def make_budget():
    """Return the budget of one VM."""
    return budget.RetryBudget(RATIO, SLACK, WINDOW_S)


@hypothesis.given(
    events=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 6),
            strategies.booleans(),
            strategies.floats(0.0, 0.5),
        ),
        max_size=400,
    )
)
def test_all_vms_together_stay_within_the_sum(events):
    """Guards against repeats that pile up at a failing service."""
    vms = 7
    budgets = [make_budget() for _ in range(vms)]
    now = 0.0
    repeats: list[float] = []
    requests: list[float] = []
    for vm, is_request, passed in events:
        now += passed
        if is_request:
            budgets[vm].note_request(now)
            requests.append(now)
        elif budgets[vm].spend(now, vms):
            repeats.append(now)
        recent = [at for at in repeats if at >= now - WINDOW_S]
        served = [at for at in requests if at >= now - 2 * WINDOW_S]
        assert len(recent) <= RATIO * len(served) + SLACK


def test_budget_returns_with_the_window(now):
    """Guards against a budget that is spent for ever."""
    found = make_budget()
    while found.spend(now, 7):
        pass
    assert not found.spend(now + 0.9 * WINDOW_S, 7)
    assert found.spend(now + 1.1 * WINDOW_S, 7)


def test_restarted_vm_leaves_room_in_the_sum(now):
    """Guards against a slack that every restart grants anew in whole."""
    spent = 0
    for _ in range(2):
        found = make_budget()
        while found.spend(now, 1):
            spent += 1
    assert spent <= SLACK
