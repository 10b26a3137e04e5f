"""Requests from callers, and the table of requests at their entry VM."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures
from bronzetrack.routing import candidates
from bronzetrack.streaming import calls
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import output as outputs
from bronzetrack.streaming import progress as progresses

RECENT_REQUESTS = 128


@attrs.frozen
class SubmittedRequest:
    """A request and the output from which its caller reads the answer."""

    request: calls.CallerRequest
    output: outputs.Output


@attrs.frozen
class CallerDisconnected:
    """The caller of a request disconnected."""

    request: str


@attrs.frozen
class Refusal:
    """A request that was refused on arrival.

    :param wall_ms: Unix time in milliseconds of the refusal
    :param adapter: adapter version, empty if the request was refused before
        its adapter was known
    """

    request: str
    wall_ms: int
    path: str
    adapter: str
    failure: failures.Failure


@attrs.frozen
class RequestEntry:
    """Summary of a request that ended.

    :param attempt: the latest attempt, as are its endpoint and owner
    :param attempts: number of attempts
    :param failure: why the latest attempt failed, None if it completed
    :param considered: candidate endpoints of the latest choice
    """

    request: str
    member: str
    adapter: str
    work_class: str
    outcome: outcomes.Outcome
    attempt: str = ""
    endpoint: str = ""
    owner: str = ""
    attempts: int = 0
    failure: failures.Failure | None = None
    considered: tuple[candidates.Candidate, ...] = ()


@attrs.define
class RequestTable:
    """The section of the requests controller.

    The table is changed in place: copying all requests in progress for each
    message would cost more than the message itself.

    :param open: requests in progress by request id
    :param recent: the latest requests that ended, oldest first
    :param refusals: the latest refusals on arrival, oldest first
    """

    open: dict[str, progresses.Progress] = attrs.field(factory=dict)
    recent: tuple[RequestEntry, ...] = ()
    refusals: tuple[Refusal, ...] = ()


def make_request_entry(
    progress: progresses.Progress,
    outcome: outcomes.Outcome,
    failure: failures.Failure | None,
) -> RequestEntry:
    """Return the summary of a request that ended."""
    request = progress.request
    return RequestEntry(
        request=request.request,
        member=request.member,
        adapter=request.adapter,
        work_class=request.work_class,
        outcome=outcome,
        attempt=progress.attempt,
        endpoint=progress.endpoint,
        owner=progress.owner,
        attempts=progress.attempts,
        failure=failure,
        considered=progress.considered,
    )
