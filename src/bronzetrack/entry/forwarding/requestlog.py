"""Log lines and metrics about single requests."""

from __future__ import annotations

import logging
from typing import Any
from typing import TYPE_CHECKING

from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import crashes as crash_events
from bronzetrack.core.eventtypes import endpoints as endpoint_events
from bronzetrack.core.eventtypes import requests as request_events
from bronzetrack.entry import endpoints
from bronzetrack.entry import meters
from bronzetrack.entry import notifiers
from bronzetrack.entry.costs import logevents as cost_logevents
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import relays
from bronzetrack.entry.forwarding import requests

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)
# The first send of a request is logged only after a wait of at least this.
LOGGED_WAIT_S = 0.1
# Bytes of the body of a rejection that are logged.
DETAIL_BYTES = 120


def log_send(
    board: boards.Blackboard,
    request: requests.Request,
    progress: progresses.Progress,
    endpoint: endpoints.Endpoint,
    now: float,
) -> None:
    """Log the state on which the choice of an endpoint was based.

    A first send with a short wait is not logged here; the line at the end of
    the request covers it.
    """
    if progress.sends == 1 and (progress.waited_s or 0.0) < LOGGED_WAIT_S:
        return
    model_key = request.model_key or notifiers.NO_MODEL_KEY
    placement_reported_at = endpoint.placement_reported_at.get(model_key)
    fields: dict[str, Any] = dict(
        request_id=request.request_id,
        endpoint=endpoint.identity,
        adapter=request.adapter,
        version=endpoint.adapters.get(model_key),
        placed_age_s=logevents.round_time(
            None
            if placement_reported_at is None
            else now - placement_reported_at
        ),
        store_age_s=logevents.round_time(now - board.store_read_at.value),
        **_describe_view(progress),
        send=progress.sends,
        waited_s=logevents.round_time(progress.waited_s),
        holder=board.lease.value.holder,
    )
    logevents.log(LOG, _make_sent_event(progress, fields))


def _make_sent_event(
    progress: progresses.Progress, fields: dict[str, Any]
) -> request_events.RequestSent:
    """Return the event of a send, with the estimates if it was by cost."""
    choice = progress.choice
    if choice is None:
        return request_events.RequestSent(**fields)
    estimate = choice.estimate
    return cost_logevents.RequestSentByCost(
        **fields,
        rule=choice.rule.value,
        estimated_work_ms=round(estimate.work_ms, 1),
        estimated_wait_ms=round(estimate.ahead_ms, 1),
        estimated_first_ms=round(estimate.first_ms, 1),
    )


def log_rejection(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    relay: relays.Relay,
) -> None:
    """Count and log the rejection of a request by an endpoint."""
    meters.REJECTIONS.labels(relay.status).inc()
    event = request_events.RequestRejected(
        request_id=request.request_id,
        endpoint=endpoint.identity,
        status=relay.status,
        adapter=request.adapter,
        detail=relay.body[:DETAIL_BYTES].decode("latin-1"),
    )
    logevents.log(LOG, event)


def log_pause(
    request: requests.Request, endpoint: endpoints.Endpoint, pause_s: float
) -> None:
    """Log that an endpoint wants no requests of this VM for a while."""
    event = request_events.EndpointPaused(
        request.request_id, endpoint.identity, logevents.round_time(pause_s)
    )
    logevents.log(LOG, event)


def log_failing(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    outcome: str,
    status: int = 0,
) -> None:
    """Log why an endpoint is given a lower preference from now on."""
    event = endpoint_events.EndpointFailing(
        request.request_id, endpoint.identity, outcome, status
    )
    logevents.log(LOG, event)


def log_loss(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    crashes: list[int],
) -> None:
    """Log that an endpoint broke off while it ran a request.

    :param crashes: crashes that this VM counts against each of its keys
    """
    event = crash_events.ConnectionLost(
        request.request_id,
        endpoint.identity,
        list(request.suspect_keys),
        crashes,
    )
    logevents.log(LOG, event)


def log_trial(request: requests.Request, keys: list[str]) -> None:
    """Log that a request is sent to find out whether its keys are sound."""
    logevents.log(LOG, crash_events.TrialSent(request.request_id, keys))


def log_end(
    request: requests.Request,
    progress: progresses.Progress | None,
    failure: failures.Failure | None,
    now: float,
) -> None:
    """Log the result of a request and update the metrics."""
    # A request that failed before its service was chosen has no progress.
    progress = progress or progresses.Progress(service="")
    total_s = now - request.arrived_at
    _update_metrics(progress, failure, total_s)
    event = request_events.RequestEnded(
        request_id=request.request_id,
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
        **_describe_view(progress),
    )
    logevents.log(LOG, event)


def _describe_view(progress: progresses.Progress) -> dict[str, Any]:
    """Return the fields of log events about the last send's view."""
    view = progress.view
    return {
        "view_age_s": logevents.round_time(view.age_s if view else None),
        "view_source": view.source.value if view else "",
    }


def _update_metrics(
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
