"""Tests of what follows an attempt that failed."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.core import failures
from bronzetrack.retries import policy
from bronzetrack.streaming import outcomes

SPENT = policy.RetryBudget(0.0)


@pytest.fixture
def failed() -> policy.FailedAttempt:
    """A repeatable attempt that ran and failed before its first chunk."""
    return policy.FailedAttempt(
        outcome=outcomes.Outcome.FAILED,
        failure=failures.Failure(failures.Reason.ENDPOINT_CRASHED),
        lost=False,
        repeatable=True,
        resumable=False,
        isolated=False,
        attempts=1,
        resumes=0,
        chunks_passed=0,
    )


@pytest.fixture
def handed_back(failed) -> policy.FailedAttempt:
    return attrs.evolve(
        failed,
        outcome=outcomes.Outcome.REFUSED,
        failure=failures.Failure(failures.Reason.ENDPOINT_LEAVING),
    )


def test_failed_run_needs_budget(failed):
    """Guards against retries that multiply the load of a failing site."""
    decide = policy.decide_recovery
    assert decide(failed, policy.RetryBudget(1.0)) is policy.Recovery.RETRY
    assert decide(failed, SPENT) is policy.Recovery.END


def test_handed_back_work_needs_no_budget(handed_back):
    """Guards against callers refused for the queue of a leaving endpoint."""
    recovery = policy.decide_recovery(handed_back, SPENT)
    assert recovery is policy.Recovery.RETRY


def test_attempts_are_bounded(handed_back):
    """Guards against a request that is handed back for ever."""
    last = attrs.evolve(handed_back, attempts=policy.ATTEMPTS)
    assert policy.decide_recovery(last, SPENT) is policy.Recovery.END


@pytest.mark.parametrize("lost", [False, True])
def test_dispatched_work_under_a_key_is_not_tried_again(failed, lost):
    """Guards against a second run of an update staging."""
    keyed = attrs.evolve(failed, repeatable=False, lost=lost)
    budget = policy.RetryBudget()
    recovery = policy.decide_recovery(keyed, budget)
    assert recovery in {policy.Recovery.SETTLE, policy.Recovery.END}


def test_answer_that_has_begun_is_not_started_anew(failed):
    """Guards against an answer that holds the beginning of two runs."""
    begun = attrs.evolve(failed, chunks_passed=3)
    recovery = policy.decide_recovery(begun, policy.RetryBudget())
    assert recovery is policy.Recovery.END
