"""Whether a failed attempt is tried again."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures

BUDGET_PART = 0.1
BUDGET_FLOOR = 10.0
ATTEMPTS = 4

RETRIED = frozenset(
    {
        failures.Reason.PEER_UNREACHABLE,
        failures.Reason.NO_OWNER,
        failures.Reason.ENDPOINT_UNREACHABLE,
        failures.Reason.ENDPOINT_LEAVING,
        failures.Reason.ENDPOINT_REFUSED,
        failures.Reason.ENDPOINT_SLOW,
        failures.Reason.ENDPOINT_CRASHED,
        failures.Reason.LOAD_FAILED,
        failures.Reason.DRAINING,
        failures.Reason.WRONG_ADAPTER,
    }
)


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


def may_retry(
    failure: failures.Failure,
    attempts: int,
    repeatable: bool,
    chunks_passed: int,
    budget: RetryBudget,
) -> bool:
    """Return whether another attempt may be made from the start.

    :param repeatable: whether the request may run more than once
    :param chunks_passed: chunks that the caller already has
    """
    return (
        repeatable
        and chunks_passed == 0
        and attempts < ATTEMPTS
        and failure.reason in RETRIED
        and budget.tokens >= 1
    )
