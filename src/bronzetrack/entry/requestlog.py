"""Log lines and counters about single requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bronzetrack.core import logevents
from bronzetrack.entry import arrivals
from bronzetrack.entry import endpoints
from bronzetrack.entry import failures
from bronzetrack.entry import meters
from bronzetrack.entry import progress as progresses
from bronzetrack.entry import relays
from bronzetrack.entry import requests

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)
# A first send that waited less has no line of its own.
LONG_WAIT_S = 0.1
# Part of a rejection's body that its line holds.
DETAIL_BYTES = 120


def log_send(
    board: boards.Blackboard,
    request: requests.Request,
    progress: progresses.Progress,
    endpoint: endpoints.Endpoint,
    now: float,
) -> None:
    """State what decided a send.

    The line at the end says it for a first send that did not wait.
    """
    if progress.sends == 1 and (progress.waited_s or 0.0) < LONG_WAIT_S:
        return
    need = request.need or arrivals.NO_NEED
    placed_at = endpoint.placed_at.get(need)
    event = logevents.RequestSent(
        request_id=request.identity,
        endpoint=endpoint.identity,
        adapter=request.adapter,
        version=endpoint.adapters.get(need),
        placed_age_s=logevents.round_time(
            None if placed_at is None else now - placed_at
        ),
        store_age_s=logevents.round_time(now - board.contact.value),
        send=progress.sends,
        waited_s=logevents.round_time(progress.waited_s),
        holder=board.lease.value.holder,
    )
    logevents.log(LOG, event)


def log_rejection(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    relay: relays.Relay,
) -> None:
    """State why an endpoint did not run a request."""
    meters.REJECTIONS.labels(relay.status).inc()
    event = logevents.RequestRejected(
        request_id=request.identity,
        endpoint=endpoint.identity,
        status=relay.status,
        adapter=request.adapter,
        detail=relay.body[:DETAIL_BYTES].decode("latin-1"),
    )
    logevents.log(LOG, event)


def log_failing(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    outcome: str,
    status: int = 0,
) -> None:
    """State why other endpoints are preferred to one from now on."""
    event = logevents.EndpointFailing(
        request.identity, endpoint.identity, outcome, status
    )
    logevents.log(LOG, event)


def log_end(
    request: requests.Request,
    progress: progresses.Progress | None,
    failure: failures.Failure | None,
    now: float,
) -> None:
    """State and count what became of a request."""
    # A request that was refused at once has no progress.
    progress = progress or progresses.Progress(service="")
    total_s = now - request.arrived
    _measure(progress, failure, total_s)
    event = logevents.RequestEnded(
        request_id=request.identity,
        route=request.route.name if request.route else "",
        adapter=request.adapter,
        endpoint=progress.endpoint,
        sends=progress.sends,
        outcome=progress.outcome,
        status=progress.status,
        reason=failure.reason.value if failure else "",
        detail=failure.detail if failure else "",
        waited_s=logevents.round_time(progress.waited_s),
        first_byte_s=logevents.round_time(progress.first_byte_s),
        total_s=logevents.round_time(total_s),
    )
    logevents.log(LOG, event)


def _measure(
    progress: progresses.Progress,
    failure: failures.Failure | None,
    total_s: float,
) -> None:
    meters.REQUESTS.labels(
        progress.outcome,
        failure.reason.value if failure else "",
    ).inc()
    meters.TOTAL.observe(total_s)
    if progress.waited_s is not None:
        meters.WAITED.observe(progress.waited_s)
    if progress.first_byte_s is not None:
        meters.FIRST_BYTE.observe(progress.first_byte_s)
