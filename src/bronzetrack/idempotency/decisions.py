"""What an attempt under a key may do, given the table."""

from __future__ import annotations

import enum

from bronzetrack.core import failures
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes


class ClaimVerdict(enum.Enum):
    """What the log says of the claim of an attempt."""

    PENDING = "pending"
    WON = "won"
    LOST = "lost"
    VOID = "void"
    ENDED = "ended"


def judge_claim(entry: tables.KeyEntry | None, attempt: str) -> ClaimVerdict:
    """Return the verdict on the claim of an attempt."""
    if entry is None:
        return ClaimVerdict.PENDING
    match entry.phase:
        case tables.KeyPhase.VOID:
            return ClaimVerdict.VOID
        case tables.KeyPhase.ENDED:
            return ClaimVerdict.ENDED
    return ClaimVerdict.WON if entry.attempt == attempt else ClaimVerdict.LOST


def describe_verdict(
    verdict: ClaimVerdict,
) -> tuple[outcomes.Outcome, failures.Failure]:
    """Return the outcome for an attempt that may not be dispatched."""
    match verdict:
        case ClaimVerdict.VOID:
            return outcomes.Outcome.NOT_RUN, failures.Failure(
                failures.Reason.KEY_VOID, "send the work under a new key"
            )
        case ClaimVerdict.PENDING:
            return outcomes.Outcome.REFUSED, failures.Failure(
                failures.Reason.LOG_UNAVAILABLE,
                "the claim of the key is not in the log",
                retry_after_ms=1_000,
            )
        case ClaimVerdict.ENDED:
            return outcomes.Outcome.COMPLETED, failures.Failure(
                failures.Reason.ANSWER_NOT_KEPT,
                "the key ran and its answer is not kept",
            )
    return outcomes.Outcome.IN_PROGRESS, failures.Failure(
        failures.Reason.KEY_IN_PROGRESS,
        "another attempt under this key was dispatched",
        retry_after_ms=1_000,
    )
