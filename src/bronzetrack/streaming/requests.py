"""Requests of callers and the table of those in progress at this VM."""

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
class Exchange:
    """A request with the place where its caller gets the answer."""

    request: calls.CallerRequest
    output: outputs.Output


@attrs.frozen
class Abandoned:
    """The caller of a request disconnected."""

    request: str


@attrs.frozen
class Refusal:
    """A request that was refused on arrival.

    :param adapter: as far as it is known, else empty
    """

    request: str
    wall_ms: int
    path: str
    adapter: str
    failure: failures.Failure


@attrs.frozen
class RequestEntry:
    """How a request ended.

    :param attempts: attempts made, with the endpoint and owner of the latest
    :param failure: why the latest attempt failed
    :param considered: endpoints that the latest choice was made from
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

    It is changed in place, since a copy of all requests in progress for each
    message would cost more than the message.

    :param open: requests in progress by id
    :param recent: the latest requests that ended, oldest first
    :param refusals: the latest that were refused on arrival, oldest first
    """

    open: dict[str, progresses.Progress] = attrs.field(factory=dict)
    recent: tuple[RequestEntry, ...] = ()
    refusals: tuple[Refusal, ...] = ()


def describe_end(
    progress: progresses.Progress,
    outcome: outcomes.Outcome,
    failure: failures.Failure | None,
) -> RequestEntry:
    """Return what is kept of a request that ended."""
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
