"""Typed log events, their messages and their fields.

Only the processes of entry VMs, which accept the requests of callers, log
through this module. It is in `core` because the platform client and the
transport log through it as well.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import math
from typing import ClassVar
from typing import TypeVar

import attrs

from bronzetrack.core import registry


@attrs.frozen
class LogEvent:
    """Base class of log events, whose fields become fields of the log line.

    :param event: name of the event in the log line
    :param message: description of the event for people
    :param level: level that the line is logged at
    """

    event: ClassVar[str]
    message: ClassVar[str]
    level: ClassVar[int]


E = TypeVar("E", bound=type[LogEvent])
EVENTS: registry.Registry[type[LogEvent]] = registry.Registry("log events")


def register(
    event: str, message: str, level: int = logging.INFO
) -> Callable[[E], E]:
    """Return a decorator that registers a class of log events.

    :param event: name of the event
    :param message: description of the event for people
    :param level: level that the line is logged at
    """

    def decorate(target: E) -> E:
        target.event = event
        target.message = message
        target.level = level
        EVENTS.register(event)(target)
        return target

    return decorate


def log(
    logger: logging.Logger,
    event: LogEvent,
    error: BaseException | None = None,
) -> None:
    """Write the log line of an event.

    :param error: exception whose traceback is part of the line
    """
    if not logger.isEnabledFor(event.level):
        return
    fields = {
        item.name: getattr(event, item.name)
        for item in attrs.fields(type(event))
    }
    logger.log(
        event.level,
        event.message,
        exc_info=error,
        extra={"event": event.event, **fields},
    )


def round_time(seconds: float | None) -> float | None:
    """Return a time in seconds, rounded to four decimals.

    :returns: `None` for an infinite time, which JSON cannot express
    """
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds, 4)


# Requests.


@register("sent", "a request was sent")
@attrs.frozen
class RequestSent(LogEvent):
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


@register("rejected", "an endpoint rejected a request without running it")
@attrs.frozen
class RequestRejected(LogEvent):
    """An answer of an endpoint that states that the request did not run."""

    request_id: str
    endpoint: str
    status: int
    adapter: str
    detail: str


@register("request", "a request ended")
@attrs.frozen
class RequestEnded(LogEvent):
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


@register("connection_lost", "an endpoint broke off while it ran a request")
@attrs.frozen
class ConnectionLost(LogEvent):
    """A loss that may show that the request crashes endpoints.

    :param keys: what the request has in common with its copies
    :param crashes: crashes that this VM counts against the keys
    """

    request_id: str
    endpoint: str
    keys: list[str]
    crashes: list[int]


@register("trial_sent", "a request with refused keys was sent as a trial")
@attrs.frozen
class TrialSent(LogEvent):
    """A send that shows whether a prompt part crashes endpoints."""

    request_id: str
    keys: list[str]


@register("crash_checked", "it was checked whether an endpoint crashed")
@attrs.frozen
class CrashChecked(LogEvent):
    """A check whether an endpoint that did not finish requests has crashed.

    :param crashed: whether there is evidence of a crash
    :param evidence: `refused`: the address refused a connection; `restarted`:
        another start of the endpoint was seen; `none`
    :param requests: number of requests whose connection was lost
    :param given_up: number of requests that this VM gave up before
    """

    endpoint: str
    crashed: bool
    evidence: str
    requests: int
    given_up: int


@register("request_suspected", "copies of a request are refused from now on")
@attrs.frozen
class RequestSuspected(LogEvent):
    """Crashes, own or reported, that refuse all copies of a request.

    :param key: what the request has in common with its copies
    :param starts: ids of the starts of the endpoints that crashed
    """

    key: str
    starts: list[str]


@register(
    "suspect_rejected", "a suspect in the store is invalid", logging.WARNING
)
@attrs.frozen
class SuspectRejected(LogEvent):
    """A record of a request that may crash endpoints, which is ignored."""

    key: str
    detail: str


@register(
    "suspect_save_failed", "a suspect could not be stored", logging.WARNING
)
@attrs.frozen
class SuspectSaveFailed(LogEvent):
    """A write to the store that is repeated."""

    detail: str


@register("endpoint_paused", "an endpoint wants no requests for a while")
@attrs.frozen
class EndpointPaused(LogEvent):
    """A refusal with Retry-After.

    :param pause_s: seconds for which this VM sends nothing there
    """

    request_id: str
    endpoint: str
    pause_s: float | None


@register("request_failed", "a request could not be served", logging.ERROR)
@attrs.frozen
class RequestFailed(LogEvent):
    """An internal error, after which the caller's connection is closed."""


# Endpoints.


@attrs.frozen
class EndpointEvent(LogEvent):
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


@register("endpoint_seen", "an endpoint is new or has restarted")
@attrs.frozen
class EndpointSeen(EndpointEvent):
    """An endpoint that new work may be sent to."""


@register("endpoint_leaving", "an endpoint accepts no new work")
@attrs.frozen
class EndpointLeaving(EndpointEvent):
    """An endpoint that is about to stop."""


@register("endpoint_removed", "an endpoint is no longer listed")
@attrs.frozen
class EndpointRemoved(EndpointEvent):
    """An endpoint that has stopped or whose entry has expired."""


@register("entry_ignored", "an entry is older than what is known")
@attrs.frozen
class EntryIgnored(LogEvent):
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


@register("view_changed", "the entries of endpoints are followed another way")
@attrs.frozen
class ViewChanged(LogEvent):
    """This VM begins or ceases to rely on hubs for news of endpoints.

    :param source: whether it now relies on hubs or on own reads
    :param hub_silence_s: seconds since a hub was heard
    :param hub_view_age_s: seconds since a hub read the entries
    """

    source: str
    hub_silence_s: float | None
    hub_view_age_s: float | None


@register("endpoint_failing", "an endpoint is failing; others are preferred")
@attrs.frozen
class EndpointFailing(LogEvent):
    """The first failure of an endpoint after a time without failures.

    :param outcome: how the send ended, `unreachable` if no connection
        could be opened
    :param status: HTTP status of the answer, 0 for none
    """

    request_id: str
    endpoint: str
    outcome: str
    status: int


@register(
    "entry_rejected", "the entry of an endpoint is invalid", logging.WARNING
)
@attrs.frozen
class EntryRejected(LogEvent):
    """An entry of an endpoint that cannot be read."""

    endpoint: str
    detail: str


# Orders and the lease.


@register("order", "an order was answered")
@attrs.frozen
class OrderAnswered(LogEvent):
    """An order to an engine and the answer to it.

    :param version: version of the adapter that the order requires
    :param sequence: sequence number of the order
    :param token: fencing token of the lease
    """

    endpoint: str
    operation: str
    model: str
    adapter: str
    version: int | None
    sequence: int
    token: int
    verdict: str
    repeated: bool


@register("engine_checked", "the report of an engine was requested")
@attrs.frozen
class EngineChecked(LogEvent):
    """The report of an engine; its fields are None if no report arrived.

    :param sequence: number of orders that the engine has accepted
    :param busy: whether the engine is loading a base model
    :param held: number of adapters that the engine has loaded
    :param pending: number of adapters that are being loaded
    :param expected: number of accepted orders that this VM expected
    """

    endpoint: str
    sequence: int | None
    busy: bool | None
    held: int | None
    pending: int | None
    expected: int


@register("lease_taken", "the lease was taken")
@attrs.frozen
class LeaseTaken(LogEvent):
    """This VM starts to give orders."""

    token: int


@register("lease_lapsed", "the lease lapsed before it was renewed")
@attrs.frozen
class LeaseLapsed(LogEvent):
    """This VM gives no orders until it holds the lease again."""

    token: int


@register("lease_released", "the lease was released")
@attrs.frozen
class LeaseReleased(LogEvent):
    """Another VM may take the lease without waiting for it to lapse."""

    token: int


@register(
    "lease_failed",
    "a call to the store about the lease failed",
    logging.WARNING,
)
@attrs.frozen
class LeaseCallFailed(LogEvent):
    """A call to the store about the lease that failed or got no answer."""

    detail: str


# Operators, the store and other VMs.


@register("configuration", "a configuration is in force")
@attrs.frozen
class ConfigurationApplied(LogEvent):
    """A configuration document of the operators has taken effect."""

    version: int


@register("adapter_version", "a new version of an adapter is required")
@attrs.frozen
class AdapterVersionRequired(LogEvent):
    """Requests for an adapter require this version or a later one."""

    model: str
    adapter: str
    version: int


@register(
    "document_rejected",
    "a document of the operators cannot be read",
    logging.ERROR,
)
@attrs.frozen
class DocumentRejected(LogEvent):
    """An invalid document, which has no effect.

    :param offset: offset of the document in the topic
    """

    key: str
    offset: int
    detail: str


@register("store_lost", "a topic cannot be read", logging.WARNING)
@attrs.frozen
class StoreUnavailable(LogEvent):
    """The store rejects reads of a topic or does not answer them."""

    topic: str
    detail: str


@register("store_regained", "a topic can be read again")
@attrs.frozen
class StoreRecovered(LogEvent):
    """The first successful read of a topic after an outage.

    :param away_s: seconds since the outage was detected
    """

    topic: str
    away_s: float


@register("topic_listed", "the newest record of each key was read")
@attrs.frozen
class TopicListed(LogEvent):
    """A read of a whole topic, at the start or as records had expired.

    :param records: number of keys
    :param previous_offset: offset of the record that was expected next
    :param next_offset: offset of the record that is read next
    """

    topic: str
    records: int
    previous_offset: int | None
    next_offset: int


@register("announce_failed", "this VM could not be announced", logging.WARNING)
@attrs.frozen
class AnnounceFailed(LogEvent):
    """Other VMs do not know this VM until a later attempt succeeds."""

    detail: str


@register(
    "announcement_rejected",
    "an announcement cannot be read",
    logging.WARNING,
)
@attrs.frozen
class AnnouncementRejected(LogEvent):
    """An entry of another VM that cannot be read."""

    peer: str
    detail: str


@register("fleet_changed", "other VMs fell silent or were heard again")
@attrs.frozen
class FleetChanged(LogEvent):
    """A change of the VMs whose heartbeats or digests arrive.

    :param alive: number of VMs that are heard
    :param known: number of VMs that may be running
    :param lost: number of VMs that fell silent
    :param members_age_s: seconds since a hub told of the VMs it hears
    """

    alive: int
    known: int
    lost: int
    members_age_s: float | None


@register("datagram_rejected", "a datagram cannot be read", logging.WARNING)
@attrs.frozen
class DatagramRejected(LogEvent):
    """A message of another VM that cannot be read."""

    detail: str


# The process itself.


@register("starting", "the process is starting")
@attrs.frozen
class Starting(LogEvent):
    """The process starts; it accepts no requests yet."""

    incarnation: str


@register("ready", "this VM accepts requests")
@attrs.frozen
class Ready(LogEvent):
    """The readiness check of this VM starts to return 200."""


@register("not_ready", "requests should be sent to other VMs")
@attrs.frozen
class NotReady(LogEvent):
    """The readiness check of this VM starts to return 503."""


@register("resolve_empty", "no entry VM is ready")
@attrs.frozen
class ResolveEmpty(LogEvent):
    """A caller asked for a VM to use, and no VM was ready.

    :param zone: availability zone of the caller
    """

    zone: str


@register("reload", "settings were reloaded")
@attrs.frozen
class SettingsReloaded(LogEvent):
    """Reloaded settings have taken effect.

    :param need_restart: changed settings that take effect only after a
        restart
    """

    need_restart: list[str]


@register(
    "reload_failed",
    "the settings are invalid; the previous ones stay in force",
    logging.ERROR,
)
@attrs.frozen
class ReloadFailed(LogEvent):
    """A settings file with mistakes, which was not applied."""

    mistakes: list[str]


@register("stopping", "a planned stop has started")
@attrs.frozen
class Stopping(LogEvent):
    """A planned stop has started."""


@register("stopped", "a planned stop has finished")
@attrs.frozen
class Stopped(LogEvent):
    """A planned stop has finished.

    :param unfinished: number of requests that were cut off
    """

    unfinished: int


@register("paused", "this process stood still", logging.WARNING)
@attrs.frozen
class Paused(LogEvent):
    """The process was not run for some time, for instance with its VM.

    :param paused_s: time, in seconds, by which a timer was late
    """

    paused_s: float


@register("controller_failed", "a controller failed", logging.CRITICAL)
@attrs.frozen
class ControllerFailed(LogEvent):
    """An internal error of a controller, which ends the process."""

    controller: str
