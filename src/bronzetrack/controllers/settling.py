"""Settlement of requests by the records of their idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.idempotency import records
from bronzetrack.idempotency import requests
from bronzetrack.idempotency import settlement
from bronzetrack.membership import view as views
from bronzetrack.streaming import progress as progresses

if TYPE_CHECKING:
    from bronzetrack import board as boards


def begin(
    board: boards.Blackboard,
    progress: progresses.Progress,
    now_ms: int,
    void: bool,
) -> None:
    """Put a request into the stage that waits for the records of its key.

    :param void: whether to append a void record, so that a claim that is not
        in the log yet has no effect
    """
    key = progress.request.key
    if key is None:
        return
    progress.stage = progresses.Stage.SETTLING
    progress.settling_ms = now_ms
    remaining_ms = max(0, progress.request.deadline_ms - now_ms)
    timeout_ms = min(settlement.RESULT_TIMEOUT_MS, remaining_ms)
    if void:
        timeout_ms = max(settlement.VOID_TIMEOUT_MS, timeout_ms)
        # The claimant may be this VM, and its run may already be dispatched.
        # Only the run itself can determine whether its claim can be withdrawn.
        record = records.KeyVoid(
            key=key.digest,
            incarnation=records.NOT_CLAIMANT,
            attempt=progress.attempt,
            issued_ms=key.issued_ms,
        )
        board.mailboxes["keys"].post(requests.AppendKey(record))
    progress.settle_until_ms = now_ms + timeout_ms


def check(
    board: boards.Blackboard,
    progress: progresses.Progress,
    now_ms: int,
    wall_ms: int,
) -> settlement.Settlement | None:
    """Return the settlement of a request, None while it is undecided."""
    request = progress.request
    if request.key is None:
        return None
    entry = board.keys.value.entries.get(request.key.digest)
    return settlement.settle_key(
        entry,
        request.key,
        request.digest,
        entry is not None
        and _is_claimant_gone(board, entry.incarnation, progress, now_ms),
        now_ms >= progress.settle_until_ms,
        wall_ms,
    )


def _is_claimant_gone(
    board: boards.Blackboard,
    incarnation: str,
    progress: progresses.Progress,
    now_ms: int,
) -> bool:
    """Return whether a claimant can no longer record a result.

    During the first `views.SUSPECT_AFTER_MS` of the wait no claimant counts as
    gone, because a VM that has just started has not received heartbeats from
    all other VMs.
    """
    if now_ms - progress.settling_ms < views.SUSPECT_AFTER_MS:
        return False
    live_incarnations = {board.incarnation} | {
        state.incarnation for state in board.membership.value.vms.values()
    }
    return incarnation not in live_incarnations
