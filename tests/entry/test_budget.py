"""Tests of the retry budget."""

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
def test_all_vms_together_stay_within_the_budget(events):
    """Guards against retries that overload a failing service."""
    vms = 7
    budgets = [make_budget() for _ in range(vms)]
    now = 0.0
    retries: list[float] = []
    requests: list[float] = []
    for vm, is_request, passed in events:
        now += passed
        if is_request:
            budgets[vm].record_request(now)
            requests.append(now)
        elif budgets[vm].take_retry(now, vms):
            retries.append(now)
        recent = [at for at in retries if at >= now - WINDOW_S]
        served = [at for at in requests if at >= now - 2 * WINDOW_S]
        assert len(recent) <= RATIO * len(served) + SLACK


def test_budget_is_refilled_after_the_window(now):
    """Guards against a budget that is never refilled."""
    retry_budget = make_budget()
    while retry_budget.take_retry(now, 7):
        pass
    assert not retry_budget.take_retry(now + 0.9 * WINDOW_S, 7)
    assert retry_budget.take_retry(now + 1.1 * WINDOW_S, 7)


def test_restarted_vm_stays_within_the_slack(now):
    """Guards against a restart that grants the whole slack again."""
    spent = 0
    for _ in range(2):
        retry_budget = make_budget()
        while retry_budget.take_retry(now, 1):
            spent += 1
    assert spent <= SLACK
