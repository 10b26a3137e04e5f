"""Answers to callers that follow from the log records of a key."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures
from bronzetrack.idempotency import claims
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import records
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes

# Maximum wait of a repeated request for the result of the first, long enough
# for most answers. Afterwards the caller gets `in_progress` and may repeat the
# request.
RESULT_TIMEOUT_MS = 30_000
# Time for two appends that time out. A void record, after which the key never
# runs, counts as unconfirmed if it was not read within this time.
VOID_TIMEOUT_MS = 7_000


@attrs.frozen
class Settlement:
    """The answer to a caller, derived from the key instead of an attempt.

    :param failure: the failure that the caller gets, if any
    :param result: the record with the stored answer, if the caller gets it
    """

    outcome: outcomes.Outcome
    failure: failures.Failure | None = None
    result: records.KeyResult | None = None


def check_ready(table: tables.KeyTable) -> failures.Failure | None:
    """Return why new keys are refused, None if they are accepted.

    A key that is missing from a table may still be in the part of the log
    that was not read. None is returned once the table has caught up and the
    log is reachable.
    """
    if table.caught_up and table.log_reachable:
        return None
    detail = (
        "the log cannot be read"
        if table.caught_up
        else "the keys of the last hour are not read yet"
    )
    return failures.Failure(
        failures.Reason.LOG_UNAVAILABLE, detail, retry_after_ms=1_000
    )


def settle_key(
    entry: tables.KeyEntry | None,
    key: keys.IdempotencyKey,
    digest: str,
    claimant_gone: bool,
    expired: bool,
    now_wall_ms: int,
) -> Settlement | None:
    """Return the answer to the caller, None while the caller has to wait.

    :param entry: the state of the key, None if the log has no record of it
    :param digest: digest of the caller's request
    :param claimant_gone: whether the claimant can no longer record a result
    :param expired: whether the caller has waited for as long as it may
    :param now_wall_ms: present Unix time in milliseconds
    """
    if not keys.is_decidable(key.issued_ms, now_wall_ms):
        # The key may have been trimmed from the table, so its absence proves
        # nothing.
        return _make_without_result("the key expired during the wait")
    if entry is None:
        if expired:
            return _make_without_result("no record of the key was read")
        return None
    if entry.phase is tables.KeyPhase.VOID:
        return Settlement(outcomes.Outcome.NOT_RUN, claims.describe_void())
    if entry.fingerprint != digest:
        return Settlement(
            outcomes.Outcome.REFUSED,
            failures.Failure(
                failures.Reason.KEY_REUSED,
                "the key was used for a different request",
            ),
        )
    if entry.result is not None:
        return _make_from_result(entry.result)
    if claimant_gone:
        return _make_without_result(f"claimant {entry.incarnation} is gone")
    if expired:
        return Settlement(
            outcomes.Outcome.IN_PROGRESS, claims.describe_in_progress()
        )
    return None


def _make_without_result(detail: str) -> Settlement:
    """Return an answer without a stored result.

    Its outcome is UNKNOWN, unless the caller of this function replaces it.
    """
    return Settlement(
        outcomes.Outcome.UNKNOWN,
        failures.Failure(failures.Reason.OUTCOME_UNKNOWN, detail),
    )


def _make_from_result(result: records.KeyResult) -> Settlement:
    outcome = outcomes.Outcome(result.outcome)
    if outcome is not outcomes.Outcome.COMPLETED:
        detail = "the run of the key ended without a known result"
        return attrs.evolve(_make_without_result(detail), outcome=outcome)
    if result.answer is not None:
        return Settlement(outcome, result=result)
    return Settlement(
        outcome,
        failures.Failure(
            failures.Reason.ANSWER_NOT_KEPT,
            "the key ran and its answer is not kept",
        ),
    )
