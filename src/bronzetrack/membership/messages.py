"""Peer messages about the status of VMs."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import ClassVar

import attrs

from bronzetrack.core import messages

PROTOCOL_VERSION = 1


class VmStatus(enum.Enum):
    """The lifecycle status of a daemon."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@messages.MESSAGES.register("hello")
@attrs.frozen
class Hello:
    """Opens a session.

    :param version: protocol version of the sender
    :param incarnation: random value that identifies this run of the daemon
    :param reads_changes: whether the sender can read `HeartbeatChanges`
    """

    mailbox: ClassVar[str] = "membership"

    version: int
    vm: str
    incarnation: str
    availability_zone: str
    peer_address: str
    caller_address: str
    operator_address: str = ""
    reads_changes: bool = False


@attrs.frozen
class EndpointSummary:
    """State of one endpoint as its owner reports it to the other VMs.

    :param free_slots: slots that are neither running work nor reserved
    :param queued: number of requests in the queue of the endpoint
    :param warm: adapter versions that are loaded, as `name@version`
    :param slow: whether the endpoint answers slower than the others of its
        model
    :param chunk_ms: time between the chunks of a stream, 0 if unknown
    :param leaving: whether the endpoint gets no new work
    :param reachable: whether the owner reaches the endpoint
    """

    free_slots: int = 0
    queued: int = 0
    warm: tuple[str, ...] = ()
    slow: bool = False
    chunk_ms: float = 0.0
    leaving: bool = False
    reachable: bool = True


@messages.MESSAGES.register("heartbeat")
@attrs.frozen
class Heartbeat:
    """The state of a VM, sent to every peer at an interval.

    :param endpoints: summaries of the endpoints that the VM owns
    :param usage: recent cost by member, decayed, of the work it dispatched
    :param number: sequence number, counted from 1 per incarnation; 0 from a
        version that does not number its heartbeats
    :param may_claim: whether the VM can read the log and holds its lease
    :param listed_leaving: VMs and endpoints that are marked as leaving in the
        VM list that the sender read
    """

    mailbox: ClassVar[str] = "membership"

    vm: str
    incarnation: str
    status: VmStatus
    configuration_offset: int
    endpoints: Mapping[str, EndpointSummary] = attrs.field(factory=dict)
    usage: Mapping[str, float] = attrs.field(factory=dict)
    number: int = 0
    may_claim: bool = True
    listed_leaving: tuple[str, ...] = ()


@attrs.frozen
class EndpointChange:
    """The changed fields of an `EndpointSummary`, None for the others."""

    free_slots: int | None = None
    queued: int | None = None
    warm: tuple[str, ...] | None = None
    slow: bool | None = None
    chunk_ms: float | None = None
    leaving: bool | None = None
    reachable: bool | None = None


@messages.MESSAGES.register("heartbeat_changes")
@attrs.frozen
class HeartbeatChanges:
    """A heartbeat as the difference from the one with the previous number.

    :param endpoints: changes by endpoint; those of a new endpoint are relative
        to a summary with default values
    :param removed: endpoints that the VM no longer owns
    :param usage: None if unchanged
    :param listed_leaving: None if unchanged
    """

    mailbox: ClassVar[str] = "membership"

    vm: str
    incarnation: str
    status: VmStatus
    configuration_offset: int
    number: int
    endpoints: Mapping[str, EndpointChange] = attrs.field(factory=dict)
    removed: tuple[str, ...] = ()
    usage: Mapping[str, float] | None = None
    may_claim: bool = True
    listed_leaving: tuple[str, ...] | None = None


@messages.MESSAGES.register("fetch_heartbeat")
@attrs.frozen
class FetchHeartbeat:
    """Requests a whole heartbeat after changes with an unknown base."""

    mailbox: ClassVar[str] = "membership"

    vm: str


# The two classes below are posted locally only. They are not registered, so
# that no peer can send them.


@attrs.frozen
class SessionOpened:
    """A session to a peer was opened."""

    mailbox: ClassVar[str] = "membership"

    vm: str
    incarnation: str


@attrs.frozen
class SessionClosed:
    """The session to a peer was closed."""

    mailbox: ClassVar[str] = "membership"

    vm: str
    incarnation: str
