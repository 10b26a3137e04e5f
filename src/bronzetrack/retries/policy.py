"""What follows an attempt that failed."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import failures
from bronzetrack.streaming import outcomes

BUDGET_PART = 0.1
BUDGET_FLOOR = 10.0
ATTEMPTS = 4
RESUMES = 3

RETRIED = frozenset(
    {
        failures.Reason.PEER_UNREACHABLE,
        failures.Reason.NO_OWNER,
        failures.Reason.ENDPOINT_UNREACHABLE,
        failures.Reason.ENDPOINT_LEAVING,
        failures.Reason.ENDPOINT_REFUSED,
        failures.Reason.ENDPOINT_SLOW,
        failures.Reason.ENDPOINT_SILENT,
        failures.Reason.ENDPOINT_CRASHED,
        failures.Reason.LOAD_FAILED,
        failures.Reason.DRAINING,
        failures.Reason.WRONG_ADAPTER,
        failures.Reason.LEASE_LAPSED,
        failures.Reason.ANSWER_INCOMPLETE,
    }
)


class Recovery(enum.Enum):
    """What is done after a failed attempt.

    RETRY starts again, WAIT does so after a pause, RESUME goes on at the
    engine at the caller's position, and SETTLE leaves the answer to the
    records of the key.
    """

    RETRY = "retry"
    WAIT = "wait"
    RESUME = "resume"
    SETTLE = "settle"
    END = "end"


@attrs.frozen
class RetryBudget:
    """Retries that are allowed, as a part of the requests.

    :param tokens: retries that may be made now
    """

    tokens: float = BUDGET_FLOOR

    def credit(self) -> RetryBudget:
        """Return the budget after a new request."""
        return RetryBudget(min(BUDGET_FLOOR, self.tokens + BUDGET_PART))

    def debit(self) -> RetryBudget:
        """Return the budget after a retry."""
        return RetryBudget(self.tokens - 1)


@attrs.frozen
class FailedAttempt:
    """What the choice depends on.

    :param lost: whether the answer was lost between VMs, so that the
        endpoint may still run the work
    :param repeatable: whether the request may run more than once
    :param resumable: whether the endpoint can resume the answer
    :param isolated: whether the request has to run alone
    :param attempts: attempts made from the start
    :param resumes: how often the answer was resumed
    :param chunks_passed: chunks that the caller already has
    """

    outcome: outcomes.Outcome
    failure: failures.Failure
    lost: bool
    repeatable: bool
    resumable: bool
    isolated: bool
    attempts: int
    resumes: int
    chunks_passed: int


def decide_recovery(failed: FailedAttempt, budget: RetryBudget) -> Recovery:
    """Return what is done after a failed attempt."""
    if failed.lost and failed.resumable and failed.chunks_passed:
        # Nothing runs a second time, so this is allowed under a key too.
        if failed.resumes < RESUMES and budget.tokens >= 1:
            return Recovery.RESUME
    if not failed.repeatable:
        decided = failed.outcome is outcomes.Outcome.IN_PROGRESS
        if failed.lost or decided:
            return Recovery.SETTLE
    refused = failed.outcome is outcomes.Outcome.REFUSED
    if refused and failed.isolated and failed.failure.reason in RETRIED:
        # All VMs send a suspect to one endpoint, so that trying another one
        # in place of waiting could cost two endpoints at once.
        return Recovery.WAIT
    if may_retry(failed, budget):
        return Recovery.RETRY
    return Recovery.END


def may_retry(failed: FailedAttempt, budget: RetryBudget) -> bool:
    """Return whether another attempt may be made from the start.

    An attempt that was refused did nothing, so that work under a key may be
    tried again after it and only after it. It cost no endpoint anything
    either, so it takes nothing from the budget: an endpoint that leaves hands
    back its whole queue at once.
    """
    refused = failed.outcome is outcomes.Outcome.REFUSED
    return (
        (failed.repeatable or (refused and not failed.lost))
        and failed.chunks_passed == 0
        and failed.attempts < ATTEMPTS
        and failed.failure.reason in RETRIED
        and (refused or budget.tokens >= 1)
    )
