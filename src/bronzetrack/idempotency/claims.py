"""What the claimant of a key does next, given the table."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import clock
from bronzetrack.core import failures
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes

# Longer than one append that times out and its repetition.
CLAIM_TIMEOUT_MS = 5_000


class ClaimVerdict(enum.Enum):
    """What the log says of the claim of an attempt."""

    PENDING = "pending"
    WON = "won"
    LOST = "lost"
    VOID = "void"
    ENDED = "ended"


class ClaimStep(enum.Enum):
    """What the claimant does next.

    VOID asks for a void of the attempt; END gives the attempt up.
    """

    WAIT = "wait"
    DISPATCH = "dispatch"
    VOID = "void"
    END = "end"


@attrs.frozen
class Claim:
    """The claim of one attempt that has not been dispatched.

    :param issued_ms: Unix time at which the caller issued the key
    :param deadline_ms: monotonic time until which the present step may last
    :param voiding: whether a void of the attempt was asked for
    """

    attempt: str
    issued_ms: int
    deadline_ms: int
    voiding: bool = False


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


def decide_claim(
    claim: Claim,
    entry: tables.KeyEntry | None,
    may_run: bool,
    now: clock.Instant,
) -> ClaimStep:
    """Return the next step of a claimant.

    :param entry: the key in the claimant's own table
    :param may_run: whether the claimant may still dispatch the work
    """
    if not keys.is_decidable(claim.issued_ms, now.wall_ms):
        return ClaimStep.END
    verdict = judge_claim(entry, claim.attempt)
    if verdict is ClaimVerdict.WON and not claim.voiding:
        return ClaimStep.DISPATCH if may_run else ClaimStep.VOID
    if verdict not in (ClaimVerdict.WON, ClaimVerdict.PENDING):
        return ClaimStep.END
    if now.monotonic_ms < claim.deadline_ms:
        return ClaimStep.WAIT
    return ClaimStep.END if claim.voiding else ClaimStep.VOID


def describe_end(
    claim: Claim, entry: tables.KeyEntry | None, now: clock.Instant
) -> tuple[outcomes.Outcome, failures.Failure]:
    """Return the outcome of an attempt that was given up undispatched."""
    if not keys.is_decidable(claim.issued_ms, now.wall_ms):
        return outcomes.Outcome.REFUSED, failures.Failure(
            failures.Reason.KEY_EXPIRED, "the key expired in the queue"
        )
    match judge_claim(entry, claim.attempt):
        case ClaimVerdict.VOID:
            return outcomes.Outcome.NOT_RUN, describe_void()
        case ClaimVerdict.LOST | ClaimVerdict.ENDED:
            return outcomes.Outcome.IN_PROGRESS, describe_in_progress()
    return outcomes.Outcome.REFUSED, failures.Failure(
        failures.Reason.LOG_UNAVAILABLE,
        "the claim of the key was not confirmed",
        retry_after_ms=1_000,
    )


def describe_void() -> failures.Failure:
    """Return the failure for a key that never ran and never will."""
    return failures.Failure(
        failures.Reason.KEY_VOID, "send the work under a new key"
    )


def describe_in_progress() -> failures.Failure:
    """Return the failure for a key that another attempt claimed."""
    return failures.Failure(
        failures.Reason.KEY_IN_PROGRESS,
        "another attempt under this key was dispatched",
        retry_after_ms=1_000,
    )
