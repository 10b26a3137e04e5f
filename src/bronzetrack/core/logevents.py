"""Typed log lines: what each states, and its fields.

Only the programs of the entry VM log through this module; it is in `core`
because the adapter and the transport log, too.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import ClassVar
from typing import TypeVar

import attrs

from bronzetrack.core import registry


@attrs.frozen
class LogEvent:
    """What one log line states.

    :param event: its name in the line
    :param message: the same for people
    """

    event: ClassVar[str]
    message: ClassVar[str]
    level: ClassVar[int]


E = TypeVar("E", bound=type[LogEvent])
EVENTS: registry.Registry[type[LogEvent]] = registry.Registry("log events")


def register(
    event: str, message: str, level: int = logging.INFO
) -> Callable[[E], E]:
    """Return a decorator that names a class of log lines."""

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
    """Write the line of an event.

    :param error: its stack is part of the line
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
    """Return a time with the digits that a log line needs."""
    return None if seconds is None else round(seconds, 4)


# Requests.


@register("sent", "a request was sent")
@attrs.frozen
class RequestSent(LogEvent):
    """A send that waited or was not the first, and what decided it.

    :param version: version of the adapter at the endpoint, as believed
    :param placed_age_s: since the holder of the lease said that it is there
    :param store_age_s: since the store was last read
    :param send: number of the send, from 1
    :param holder: VM that gives orders, as believed
    """

    request_id: str
    endpoint: str
    adapter: str
    version: int | None
    placed_age_s: float | None
    store_age_s: float | None
    send: int
    waited_s: float | None
    holder: str


@register("rejected", "an endpoint rejected a request without running it")
@attrs.frozen
class RequestRejected(LogEvent):
    """An endpoint's answer that the request did not run there."""

    request_id: str
    endpoint: str
    status: int
    adapter: str
    detail: str


@register("request", "a request ended")
@attrs.frozen
class RequestEnded(LogEvent):
    """What became of a request.

    :param endpoint: endpoint of the last send
    :param outcome: how the last send ended
    :param status: status of the endpoint's last answer, 0 for none
    :param reason: why this VM answered itself, empty if it did not
    :param waited_s: from the arrival to the last send
    :param first_byte_s: from the arrival to the first byte of the answer
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


@register("request_failed", "a request could not be served", logging.ERROR)
@attrs.frozen
class RequestFailed(LogEvent):
    """A fault of the program; the connection of the caller is closed."""


# Endpoints.


@attrs.frozen
class EndpointEvent(LogEvent):
    """A change in the list of endpoints."""

    endpoint: str
    service: str
    address: str


@register("endpoint_seen", "an endpoint is new or has started again")
@attrs.frozen
class EndpointSeen(EndpointEvent):
    """An endpoint that new work may be sent to."""


@register("endpoint_leaving", "an endpoint takes no new work")
@attrs.frozen
class EndpointLeaving(EndpointEvent):
    """An endpoint that is about to stop."""


@register("endpoint_removed", "an endpoint is listed no more")
@attrs.frozen
class EndpointRemoved(EndpointEvent):
    """An endpoint that stopped, or whose entry lapsed."""


@register("endpoint_failing", "an endpoint fails; others are preferred")
@attrs.frozen
class EndpointFailing(LogEvent):
    """A failure after a time without any.

    :param outcome: how the send ended, `unreachable` without a connection
    :param status: status of its answer, 0 for none
    """

    request_id: str
    endpoint: str
    outcome: str
    status: int


@register(
    "entry_rejected", "an entry names no endpoint to use", logging.WARNING
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
    """An order to an engine and its answer.

    :param version: version of the adapter that the order insists on
    :param sequence: number of the order
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


@register("engine_checked", "an engine was asked for a report")
@attrs.frozen
class EngineChecked(LogEvent):
    """The report of an engine, without fields if none came.

    :param sequence: orders that it has accepted
    :param busy: whether it loads a base model
    :param held: adapters that it holds
    :param pending: adapters on their way to it
    :param expected: orders that this VM believed to be accepted
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
    """This VM gives the orders from now on."""

    token: int


@register("lease_lapsed", "the lease lapsed before it was renewed")
@attrs.frozen
class LeaseLapsed(LogEvent):
    """This VM gives no orders until it has the lease again."""

    token: int


@register("lease_released", "the lease was released")
@attrs.frozen
class LeaseReleased(LogEvent):
    """Another VM may take the lease at once."""

    token: int


@register(
    "lease_failed", "the store did not answer on the lease", logging.WARNING
)
@attrs.frozen
class LeaseCallFailed(LogEvent):
    """A call about the lease that failed or was not answered."""

    detail: str


# Operators, the store and other VMs.


@register("configuration", "a configuration is in force")
@attrs.frozen
class ConfigurationApplied(LogEvent):
    """A document of the operators is in force."""

    version: int


@register("adapter_version", "a new version of an adapter is named")
@attrs.frozen
class AdapterVersionNamed(LogEvent):
    """Requests for an adapter need this version or a later one."""

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
    """A document that changes nothing.

    :param offset: its place in the topic
    """

    key: str
    offset: int
    detail: str


@register("store_lost", "a topic cannot be read", logging.WARNING)
@attrs.frozen
class StoreLost(LogEvent):
    """The store refuses reads or does not answer them."""

    topic: str
    detail: str


@register("store_regained", "a topic can be read again")
@attrs.frozen
class StoreRegained(LogEvent):
    """The first read after a loss.

    :param away_s: since the loss was seen
    """

    topic: str
    away_s: float


@register("announce_failed", "this VM could not be announced", logging.WARNING)
@attrs.frozen
class AnnounceFailed(LogEvent):
    """Others do not know this VM until a later try."""

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


@register("datagram_rejected", "a datagram cannot be read", logging.WARNING)
@attrs.frozen
class DatagramRejected(LogEvent):
    """A message of another VM that cannot be read."""

    detail: str


# The process itself.


@register("starting", "starting")
@attrs.frozen
class Starting(LogEvent):
    """The process begins; it takes no requests yet."""

    incarnation: str


@register("ready", "requests are taken")
@attrs.frozen
class Ready(LogEvent):
    """The readiness address answers 200 from now on."""


@register("not_ready", "requests are better sent to other VMs")
@attrs.frozen
class NotReady(LogEvent):
    """The readiness address answers 503 from now on."""


@register("resolve_empty", "no entry VM is ready")
@attrs.frozen
class ResolveEmpty(LogEvent):
    """A caller asked which VM to use, and got none.

    :param zone: availability zone of the caller
    """

    zone: str


@register("reload", "settings were read again")
@attrs.frozen
class SettingsReloaded(LogEvent):
    """Settings are in force.

    :param need_restart: changed settings that are not
    """

    need_restart: list[str]


@register(
    "reload_failed",
    "the settings cannot be used; the old ones stay",
    logging.ERROR,
)
@attrs.frozen
class ReloadFailed(LogEvent):
    """A settings file with mistakes."""

    mistakes: list[str]


@register("stopping", "stopping")
@attrs.frozen
class Stopping(LogEvent):
    """A planned stop has begun."""


@register("stopped", "stopped")
@attrs.frozen
class Stopped(LogEvent):
    """A planned stop is over.

    :param unfinished: requests that are cut off
    """

    unfinished: int


@register("controller_failed", "a controller failed", logging.CRITICAL)
@attrs.frozen
class ControllerFailed(LogEvent):
    """A fault of the program, which ends the process."""

    controller: str
