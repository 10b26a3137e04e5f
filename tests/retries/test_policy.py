"""Tests of the retry policy."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.core import failures
from bronzetrack.retries import policy
from bronzetrack.streaming import outcomes

EMPTY_BUDGET = policy.RetryBudget(0.0)


@pytest.fixture
def failed() -> policy.FailedAttempt:
    """A repeatable attempt whose endpoint crashed before the first chunk."""
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
def refused(failed) -> policy.FailedAttempt:
    """A repeatable attempt that a leaving endpoint refused."""
    return attrs.evolve(
        failed,
        outcome=outcomes.Outcome.REFUSED,
        failure=failures.Failure(failures.Reason.ENDPOINT_LEAVING),
    )


def test_retry_of_failed_run_needs_budget(failed):
    """Guards against retries that multiply the load while endpoints fail."""
    decide = policy.decide_recovery
    assert decide(failed, policy.RetryBudget(1.0)) is policy.Recovery.RETRY
    assert decide(failed, EMPTY_BUDGET) is policy.Recovery.END


def test_retry_of_refused_work_needs_no_budget(refused):
    """Guards against a request that fails because its endpoint is leaving.

    An endpoint that leaves refuses its whole queue at once, which would use
    up the retry budget.
    """
    recovery = policy.decide_recovery(refused, EMPTY_BUDGET)
    assert recovery is policy.Recovery.RETRY


def test_attempts_are_bounded(refused):
    """Guards against a request that is refused and retried without end."""
    exhausted = attrs.evolve(refused, attempts=policy.MAX_ATTEMPTS)
    assert (
        policy.decide_recovery(exhausted, EMPTY_BUDGET) is policy.Recovery.END
    )


@pytest.mark.parametrize("lost", [False, True])
def test_dispatched_work_with_a_key_is_not_retried(failed, lost):
    """Guards against a second run of work with an idempotency key.

    The work may already have had an effect.
    """
    keyed = attrs.evolve(failed, repeatable=False, lost=lost)
    budget = policy.RetryBudget()
    recovery = policy.decide_recovery(keyed, budget)
    assert recovery in {policy.Recovery.SETTLE, policy.Recovery.END}


def test_started_answer_is_not_retried(failed):
    """Guards against an answer that mixes the first chunks of two runs."""
    started = attrs.evolve(failed, chunks_passed=3)
    recovery = policy.decide_recovery(started, policy.RetryBudget())
    assert recovery is policy.Recovery.END
