"""Decides the next step of a claimant from the replayed state of its key."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import clock
from bronzetrack.core import failures
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes

# Longer than an append that times out and its retry together.
CLAIM_TIMEOUT_MS = 5_000


class ClaimStatus(enum.Enum):
    """Status of the claim of an attempt, according to the log.

    PENDING means that the log decided nothing about the key yet. WON and LOST
    mean that this or another attempt claimed the key, VOID that the key never
    runs, and ENDED that a run of the key has a recorded result.
    """

    PENDING = "pending"
    WON = "won"
    LOST = "lost"
    VOID = "void"
    ENDED = "ended"


class ClaimStep(enum.Enum):
    """Next step of a claimant.

    VOID appends a void record for the attempt, and END ends the attempt
    without a dispatch.
    """

    WAIT = "wait"
    DISPATCH = "dispatch"
    VOID = "void"
    END = "end"


@attrs.frozen
class Claim:
    """The claim of an attempt that has not been dispatched.

    :param issued_ms: Unix time in milliseconds at which the caller issued the
        key
    :param deadline_ms: monotonic time in milliseconds until which the present
        step may last
    :param voiding: whether a void of the attempt was requested
    """

    attempt: str
    issued_ms: int
    deadline_ms: int
    voiding: bool = False


def get_claim_status(
    entry: tables.KeyEntry | None, attempt: str
) -> ClaimStatus:
    """Return the status of the claim of an attempt.

    :param entry: the state of the key, None if the log has no record of it
    """
    if entry is None:
        return ClaimStatus.PENDING
    match entry.phase:
        case tables.KeyPhase.VOID:
            return ClaimStatus.VOID
        case tables.KeyPhase.ENDED:
            return ClaimStatus.ENDED
    return ClaimStatus.WON if entry.attempt == attempt else ClaimStatus.LOST


def decide_claim(
    claim: Claim,
    entry: tables.KeyEntry | None,
    may_run: bool,
    now: clock.Instant,
) -> ClaimStep:
    """Return the next step of a claimant.

    :param entry: the state of the key in the claimant's own table
    :param may_run: whether the claimant may still dispatch the work
    """
    if not keys.is_decidable(claim.issued_ms, now.wall_ms):
        return ClaimStep.END
    status = get_claim_status(entry, claim.attempt)
    if status is ClaimStatus.WON and not claim.voiding:
        return ClaimStep.DISPATCH if may_run else ClaimStep.VOID
    if status not in (ClaimStatus.WON, ClaimStatus.PENDING):
        return ClaimStep.END
    if now.monotonic_ms < claim.deadline_ms:
        return ClaimStep.WAIT
    return ClaimStep.END if claim.voiding else ClaimStep.VOID


def make_end_outcome(
    claim: Claim, entry: tables.KeyEntry | None, now: clock.Instant
) -> tuple[outcomes.Outcome, failures.Failure]:
    """Return the outcome of an attempt that ended without a dispatch."""
    if not keys.is_decidable(claim.issued_ms, now.wall_ms):
        return outcomes.Outcome.REFUSED, failures.Failure(
            failures.Reason.KEY_EXPIRED, "the key expired in the queue"
        )
    match get_claim_status(entry, claim.attempt):
        case ClaimStatus.VOID:
            return outcomes.Outcome.NOT_RUN, describe_void()
        case ClaimStatus.LOST | ClaimStatus.ENDED:
            return outcomes.Outcome.IN_PROGRESS, describe_in_progress()
    return outcomes.Outcome.REFUSED, failures.Failure(
        failures.Reason.LOG_UNAVAILABLE,
        "the claim of the key was not confirmed",
        retry_after_ms=1_000,
    )


def describe_void() -> failures.Failure:
    """Return the failure for a key that never ran and never will run."""
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
