"""Log events of requests."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register("sent", "a request was sent")
@attrs.frozen
class RequestSent(logevents.LogEvent):
    """Logged for a send that waited or is a retry.

    The event `request` covers the other sends. The ages show how old the
    routing data was.

    :param version: last known version of the adapter at the endpoint
    :param placed_age_s: seconds since the lease holder reported the adapter
        as loaded there
    :param store_age_s: seconds since the last read of the store
    :param view_age_s: age of this VM's knowledge of the endpoints
    :param view_source: whether it rests on an own read or on a hub's
    :param send: number of the send, from 1
    :param waited_s: seconds from the arrival to this send
    :param holder: VM that is last known to hold the lease and give orders
    """

    request_id: str
    endpoint: str
    adapter: str
    version: int | None
    placed_age_s: float | None
    store_age_s: float | None
    view_age_s: float | None
    view_source: str
    send: int
    waited_s: float | None
    holder: str


@logevents.register(
    "rejected", "an endpoint rejected a request without running it"
)
@attrs.frozen
class RequestRejected(logevents.LogEvent):
    """An answer of an endpoint that states that the request did not run."""

    request_id: str
    endpoint: str
    status: int
    adapter: str
    detail: str


@logevents.register("request", "a request ended")
@attrs.frozen
class RequestEnded(logevents.LogEvent):
    """The outcome of a request.

    :param endpoint: endpoint of the last send
    :param outcome: how the last send ended
    :param status: HTTP status of the last answer of an endpoint, 0 for none
    :param reason: why this VM answered the request itself, empty if it did
        not
    :param waited_s: seconds from the arrival to the last send
    :param first_byte_s: seconds from the arrival to the first byte of the
        answer
    :param view_age_s: age of this VM's knowledge of the endpoints at that
        send
    :param view_source: whether it rested on an own read or on a hub's
    """

    request_id: str
    route: str
    adapter: str
    endpoint: str
    sends: int
    outcome: str
    status: int
    reason: str
    detail: str
    waited_s: float | None
    first_byte_s: float | None
    total_s: float | None
    view_age_s: float | None
    view_source: str


@logevents.register(
    "endpoint_paused", "an endpoint wants no requests for a while"
)
@attrs.frozen
class EndpointPaused(logevents.LogEvent):
    """A refusal with Retry-After.

    :param pause_s: seconds for which this VM sends nothing there
    """

    request_id: str
    endpoint: str
    pause_s: float | None


@logevents.register(
    "request_failed", "a request could not be served", logging.ERROR
)
@attrs.frozen
class RequestFailed(logevents.LogEvent):
    """An internal error, after which the caller's connection is closed."""
