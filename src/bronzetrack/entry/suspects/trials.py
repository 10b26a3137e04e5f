"""Check of a request against the crashes that requests like it caused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import requestlog
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.suspects import suspects

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards


def check_suspicion(
    board: boards.Blackboard,
    request: requests.Request,
    now: float,
    possible_runs: int = 0,
) -> failures.Failure | None:
    """Return why a request that may crash endpoints must not be sent, if so.

    :param possible_runs: number of sends after which an endpoint may have run
        the request
    """
    admission = _decide_admission(board, request, now)
    return _make_failure(possible_runs) if admission.is_refused else None


def admit(
    board: boards.Blackboard,
    request: requests.Request,
    now: float,
    possible_runs: int = 0,
) -> failures.Failure | None:
    """Record a trial of a request that is sent next, or return its failure.

    A trial that is not sent shows nothing, and would delay the next one.

    :param possible_runs: number of sends after which an endpoint may have run
        the request
    """
    admission = _decide_admission(board, request, now)
    if admission.is_refused:
        return _make_failure(possible_runs)
    if admission.is_trial:
        requestlog.log_trial(request, admission.keys)
        board.answers.value.record_trial(admission.keys, now)
    return None


def _decide_admission(
    board: boards.Blackboard, request: requests.Request, now: float
) -> suspects.Admission:
    table = board.suspects.value
    if not table.by_key:
        return suspects.ADMITTED
    peers = board.membership.value.peer_table.list_alive(now)
    return suspects.decide_admission(
        request,
        table,
        board.answers.value,
        suspects.Electorate(board.settings.vm, [peer.vm for peer in peers]),
        now,
    )


def _make_failure(possible_runs: int) -> failures.Failure:
    reason = failures.Reason.SUSPECTED
    if possible_runs:
        reason = failures.Reason.LOST
    return failures.Failure(
        reason, "endpoints crashed each time that they ran this request"
    )
