"""Selection of an endpoint for an attempt, and creation of its work."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from bronzetrack.core import failures
from bronzetrack.membership import summaries
from bronzetrack.routing import candidates
from bronzetrack.routing import choice
from bronzetrack.streaming import messages
from bronzetrack.streaming import progress as progresses

if TYPE_CHECKING:
    from bronzetrack import board as boards


def choose_endpoint(
    board: boards.Blackboard, progress: progresses.Progress, now_ms: int
) -> candidates.Candidate | failures.Failure:
    """Return the endpoint for the next attempt of a request.

    The considered candidates are sampled into `progress.considered`.

    :returns: the chosen candidate, or why there is none
    """
    request = progress.request
    inventory = board.configuration.value.configuration.inventory
    isolated = is_isolated(board, progress)

    def record_considered(considered: list[candidates.Candidate]) -> None:
        progress.considered = candidates.limit_for_dump(considered)

    return choice.choose_endpoint(
        {
            name: inventory.endpoints[name]
            for name in request.endpoints
            if name in inventory.endpoints
        },
        choice.collect_summaries(
            board.ownership.value,
            board.membership.value,
            summaries.summarize_owned(board),
            board.vm,
            board.incarnation,
            now_ms,
        ),
        request.adapter,
        _count_in_flight(board.requests.value.open.values()),
        board.membership.value.listed_leaving,
        board.settings.vm.availability_zone,
        progress.excluded,
        request.fingerprint if isolated else None,
        on_candidates=record_considered,
    )


def is_isolated(
    board: boards.Blackboard, progress: progresses.Progress
) -> bool:
    """Return whether a request has to run alone.

    The flag of the request is checked too, because the failure of an attempt
    can arrive before the notice of the crash.
    """
    suspects = board.suspects.value
    return progress.isolated or suspects.is_suspect(
        progress.request.fingerprint
    )


def _count_in_flight(
    open_requests: Iterable[progresses.Progress],
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for progress in open_requests:
        if progress.stage is progresses.Stage.RUNNING:
            counts[progress.endpoint] = counts.get(progress.endpoint, 0) + 1
    return counts


def get_incarnation(board: boards.Blackboard, vm: str) -> str:
    """Return the incarnation of a VM, or an empty string if unknown."""
    if vm == board.vm:
        return board.incarnation
    state = board.membership.value.vms.get(vm)
    return "" if state is None else state.incarnation


def can_resume(
    board: boards.Blackboard, progress: progresses.Progress
) -> bool:
    """Return whether the endpoint can resume the answer of a request."""
    inventory = board.configuration.value.configuration.inventory
    endpoint = inventory.endpoints.get(progress.endpoint)
    return (
        progress.request.stream and endpoint is not None and endpoint.is_engine
    )


def make_work(
    board: boards.Blackboard,
    progress: progresses.Progress,
    attempt: str,
    endpoint: str,
    now_ms: int,
) -> messages.SubmitWork:
    """Return the work of an attempt that starts from the first chunk."""
    request = progress.request
    return messages.SubmitWork(
        attempt=attempt,
        request=request.request,
        endpoint=endpoint,
        member=request.member,
        adapter=request.adapter,
        work_class=request.work_class,
        method=request.method,
        path=request.path,
        body=request.body,
        timeout_ms=request.deadline_ms - now_ms,
        cost=request.cost,
        stream=request.stream,
        content_type=request.content_type,
        fingerprint=request.fingerprint,
        key=None if request.key is None else request.key.digest,
        digest=request.digest,
        issued_ms=0 if request.key is None else request.key.issued_ms,
        isolated=is_isolated(board, progress),
        crashes=tuple(
            sorted(board.suspects.value.list_crashes(request.fingerprint))
        ),
    )
