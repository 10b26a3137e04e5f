"""Requests of callers and the table of those in progress at this VM."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from bronzetrack.core import blackboard
from bronzetrack.core import failures
from bronzetrack.idempotency import keys
from bronzetrack.routing import candidates
from bronzetrack.streaming import outcomes

RECENT_REQUESTS = 128


@attrs.frozen
class CallerRequest:
    """A checked request of a caller.

    :param member: the member that is charged
    :param adapter: `name@version`, empty for a plain service
    :param endpoints: endpoints that could run it
    :param repeatable: whether it may run more than once
    """

    request: str
    member: str
    adapter: str
    work_class: str
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    cost: int
    fingerprint: str
    endpoints: tuple[str, ...]
    repeatable: bool
    key: keys.IdempotencyKey | None
    deadline_ms: int


@attrs.frozen
class Started:
    """The answer begins."""

    endpoint: str
    vm: str
    status: int
    content_type: str


@attrs.frozen
class Chunk:
    """The next bytes of the answer."""

    data: bytes


@attrs.frozen
class Ended:
    """The answer ended."""

    outcome: outcomes.Outcome
    failure: failures.Failure | None = None


@attrs.frozen
class Exchange:
    """A request with the mailbox through which its caller gets the answer."""

    request: CallerRequest
    output: blackboard.Mailbox[Any]


@attrs.frozen
class Abandoned:
    """The caller of a request disconnected."""

    request: str


@attrs.frozen
class Refusal:
    """A request that was refused on arrival.

    :param adapter: as far as it is known, else empty
    """

    wall_ms: int
    path: str
    adapter: str
    failure: failures.Failure


@attrs.frozen
class RequestEntry:
    """Where a request in progress stands.

    :param attempts: attempts made, with the endpoint and owner of the latest
    :param failure: why the latest attempt failed
    :param considered: endpoints that the latest choice was made from
    """

    request: str
    member: str
    adapter: str
    work_class: str
    attempt: str = ""
    endpoint: str = ""
    owner: str = ""
    attempts: int = 0
    failure: failures.Failure | None = None
    outcome: outcomes.Outcome | None = None
    considered: tuple[candidates.Candidate, ...] = ()


@attrs.frozen
class RequestTable:
    """The section of the requests controller.

    :param open: requests in progress
    :param recent: the latest requests that ended, oldest first
    :param refusals: the latest that were refused on arrival, oldest first
    """

    open: Mapping[str, RequestEntry] = attrs.field(factory=dict)
    recent: tuple[RequestEntry, ...] = ()
    refusals: tuple[Refusal, ...] = ()
