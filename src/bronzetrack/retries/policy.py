"""Retry policy: the choice of what to do after a failed attempt."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import failures
from bronzetrack.streaming import outcomes

TOKENS_PER_REQUEST = 0.1
MAX_BUDGET_TOKENS = 10.0
MAX_ATTEMPTS = 4
MAX_RESUMES = 3

RETRYABLE_REASONS = frozenset(
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
    """The action that follows a failed attempt.

    RETRY starts another attempt from the first chunk, and WAIT does so after
    a pause. RESUME reads the rest of the stream from the engine, starting at
    the caller's position. SETTLE leaves the answer to the log records of the
    idempotency key. END ends the request with the failure.
    """

    RETRY = "retry"
    WAIT = "wait"
    RESUME = "resume"
    SETTLE = "settle"
    END = "end"


@attrs.frozen
class RetryBudget:
    """Retry budget that grows with the number of requests.

    :param tokens: number of retries that may be made now
    """

    tokens: float = MAX_BUDGET_TOKENS

    def credit(self) -> RetryBudget:
        """Return the budget after a new request, up to its maximum."""
        return RetryBudget(
            min(MAX_BUDGET_TOKENS, self.tokens + TOKENS_PER_REQUEST)
        )

    def debit(self) -> RetryBudget:
        """Return the budget after a retry."""
        return RetryBudget(self.tokens - 1)


@attrs.frozen
class FailedAttempt:
    """A failed attempt, with everything that the retry policy depends on.

    :param lost: whether the answer was lost between VMs, so that the
        endpoint may still run the work
    :param repeatable: whether the request may run more than once
    :param resumable: whether the endpoint can resume the answer
    :param isolated: whether the request has to run alone on its endpoint
    :param attempts: number of attempts that started from the first chunk
    :param resumes: number of times that the answer was resumed
    :param chunks_passed: number of chunks that were passed to the caller
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
    """Return the action that follows a failed attempt."""
    if failed.lost and failed.resumable and failed.chunks_passed:
        # A resume runs nothing a second time, so it is also allowed for a
        # request with an idempotency key.
        if failed.resumes < MAX_RESUMES and budget.tokens >= 1:
            return Recovery.RESUME
    if not failed.repeatable:
        in_progress = failed.outcome is outcomes.Outcome.IN_PROGRESS
        if failed.lost or in_progress:
            return Recovery.SETTLE
    refused = failed.outcome is outcomes.Outcome.REFUSED
    if (
        refused
        and failed.isolated
        and failed.failure.reason in RETRYABLE_REASONS
    ):
        # All VMs send a suspect to the same endpoint. Trying another endpoint
        # instead of waiting could crash two endpoints at once.
        return Recovery.WAIT
    if may_retry(failed, budget):
        return Recovery.RETRY
    return Recovery.END


def may_retry(failed: FailedAttempt, budget: RetryBudget) -> bool:
    """Return whether another attempt may start from the first chunk.

    A refused attempt did nothing. Work under an idempotency key may therefore
    be retried after a refusal, and only then. A refusal also cost no endpoint
    anything, so its retry takes no token from the budget: an endpoint that
    leaves refuses its whole queue at once.
    """
    refused = failed.outcome is outcomes.Outcome.REFUSED
    return (
        (failed.repeatable or (refused and not failed.lost))
        and failed.chunks_passed == 0
        and failed.attempts < MAX_ATTEMPTS
        and failed.failure.reason in RETRYABLE_REASONS
        and (refused or budget.tokens >= 1)
    )
