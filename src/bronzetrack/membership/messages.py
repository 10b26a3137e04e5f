"""Peer messages about VMs."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import ClassVar

import attrs

from bronzetrack.core import messages

PROTOCOL_VERSION = 1


class VmStatus(enum.Enum):
    """The state of life of a daemon."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@messages.MESSAGES.register("hello")
@attrs.frozen
class Hello:
    """Opens a session.

    :param incarnation: random value of this run of the daemon
    :param reads_changes: whether this version reads `HeartbeatChanges`
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
    """What an owner tells the others about one endpoint.

    :param free_slots: slots neither running nor reserved
    :param queued: requests that wait there
    :param warm: adapter versions that are loaded, `name@version`
    :param slow: whether the endpoint answers slower than its peers
    :param chunk_ms: time between the chunks of a stream, 0 if not known
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
    :param number: counts the heartbeats of an incarnation from 1 on; 0 from a
        version that does not count
    :param may_claim: whether the VM reads the log and holds its lease
    :param listed_leaving: VMs and endpoints that its list calls leaving
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
    """The fields of a summary that changed, None for the others."""

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
    """A heartbeat as the difference to the one with the number before.

    :param endpoints: changes by endpoint; a new one differs from a summary
        with defaults
    :param removed: endpoints that the VM no longer owns
    :param usage: None if it did not change, like `listed_leaving`
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
    """Asks for a whole heartbeat, after changes to one that is not known."""

    mailbox: ClassVar[str] = "membership"

    vm: str


# The next two are posted locally and are not registered, so that no peer can
# send them.


@attrs.frozen
class SessionOpened:
    """A session towards a peer is open."""

    mailbox: ClassVar[str] = "membership"

    vm: str
    incarnation: str


@attrs.frozen
class SessionClosed:
    """The session towards a peer ended."""

    mailbox: ClassVar[str] = "membership"

    vm: str
    incarnation: str
