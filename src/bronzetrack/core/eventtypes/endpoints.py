"""Log events of the list of endpoints."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@attrs.frozen
class EndpointEvent(logevents.LogEvent):
    """A change in the list of endpoints.

    :param start_ms: Unix time of the endpoint's start, in milliseconds
    :param announcement: number of its latest announcement that is known
    :param source: how this VM learnt of the change
    :param offset: offset of the entry that shows the change
    """

    endpoint: str
    service: str
    address: str
    start_ms: int
    announcement: int
    source: str
    offset: int | None


@logevents.register("endpoint_seen", "an endpoint is new or has restarted")
@attrs.frozen
class EndpointSeen(EndpointEvent):
    """An endpoint that new work may be sent to."""


@logevents.register("endpoint_leaving", "an endpoint accepts no new work")
@attrs.frozen
class EndpointLeaving(EndpointEvent):
    """An endpoint that is about to stop."""


@logevents.register("endpoint_removed", "an endpoint is no longer listed")
@attrs.frozen
class EndpointRemoved(EndpointEvent):
    """An endpoint that has stopped or whose entry has expired."""


@logevents.register("entry_ignored", "an entry is older than what is known")
@attrs.frozen
class EntryIgnored(logevents.LogEvent):
    """An entry of an endpoint that a later one precedes in the log.

    :param start_ms: start of the endpoint that the entry is of
    :param announcement: number of the announcement
    :param known_start_ms: start that is known
    :param known_announcement: number of the latest announcement of it
    """

    endpoint: str
    start_ms: int
    announcement: int
    known_start_ms: int
    known_announcement: int
    source: str
    offset: int | None


@logevents.register(
    "view_changed", "the entries of endpoints are followed another way"
)
@attrs.frozen
class ViewChanged(logevents.LogEvent):
    """This VM begins or ceases to rely on hubs for news of endpoints.

    :param source: whether it now relies on hubs or on own reads
    :param hub_silence_s: seconds since a hub was heard
    :param hub_view_age_s: seconds since a hub read the entries
    """

    source: str
    hub_silence_s: float | None
    hub_view_age_s: float | None


@logevents.register(
    "endpoint_failing", "an endpoint is failing; others are preferred"
)
@attrs.frozen
class EndpointFailing(logevents.LogEvent):
    """The first failure of an endpoint after a time without failures.

    :param outcome: how the send ended, `unreachable` if no connection
        could be opened
    :param status: HTTP status of the answer, 0 for none
    """

    request_id: str
    endpoint: str
    outcome: str
    status: int


@logevents.register(
    "entry_rejected", "the entry of an endpoint is invalid", logging.WARNING
)
@attrs.frozen
class EntryRejected(logevents.LogEvent):
    """An entry of an endpoint that cannot be read."""

    endpoint: str
    detail: str
