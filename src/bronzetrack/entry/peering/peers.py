"""The other entry VMs, their liveness and their requests in progress."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import zlib

import attrs

# A VM counts as alive for this time after its last heartbeat.
ALIVE_TIMEOUT_S = 1.6
# Heartbeats are sent to a VM for this time after its last heartbeat or
# announcement. A VM that restarts announces itself again.
PEER_EXPIRY_S = 20.0


# Callers use at most this many addresses of an answer.
MAX_CALLER_ADDRESSES = 64


def compute_key(name: str) -> int:
    """Return the 32-bit number that stands for a name in digests."""
    return zlib.crc32(name.encode())


@attrs.define(eq=False)
class Peer:
    """Another entry VM as its heartbeats or the digests of hubs describe it.

    :param vm: name of the VM
    :param caller_address: address that callers connect to
    :param address: address that heartbeats are sent to
    :param announced_at: when the VM last announced itself in the store, or
        when its first heartbeat arrived
    :param last_heartbeat_at: when its last heartbeat arrived at this VM or at
        a hub, None before the first
    :param subscribed_at: when its last heartbeat arrived at this VM
    :param joining: whether it may not know all VMs that act beside it
    :param active: number of requests in progress by endpoint, as in that
        heartbeat
    :param work_ms: work of these requests by endpoint, in ms of the endpoint
    :param uses: endpoint, model and adapter of each adapter in use
    """

    vm: str
    caller_address: str
    address: tuple[str, int]
    zone: str
    announced_at: float
    last_heartbeat_at: float | None = None
    subscribed_at: float | None = None
    ready: bool = False
    stopping: bool = False
    joining: bool = False
    active: dict[str, int] = attrs.field(factory=dict)
    work_ms: dict[str, float] = attrs.field(factory=dict)
    uses: set[tuple[str, str, str]] = attrs.field(factory=set)
    key: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the number that stands for the VM in digests."""
        self.key = compute_key(self.vm)

    @property
    def state(self) -> tuple[bool, bool, bool]:
        """Whether the VM is ready, stops and joins, as it last reported."""
        return self.ready, self.stopping, self.joining

    @state.setter
    def state(self, state: tuple[bool, bool, bool]) -> None:
        self.ready, self.stopping, self.joining = state

    def is_alive(self, now: float) -> bool:
        """Return whether a heartbeat of the VM arrived recently."""
        return (
            self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at < ALIVE_TIMEOUT_S
        )

    def needs_heartbeats(self, now: float) -> bool:
        """Return whether heartbeats are still sent to the VM."""
        latest = max(self.announced_at, self.last_heartbeat_at or 0.0)
        return now - latest < PEER_EXPIRY_S


def compute_rank(vm: str, alive: Iterable[Peer]) -> int:
    """Return how many live VMs come before one, without those that stop.

    VMs that hear each other so agree on which of them acts for all.

    :param alive: the other live VMs
    """
    return sum(peer.vm < vm and not peer.stopping for peer in alive)


@attrs.define(eq=False)
class PeerTable:
    """All other known entry VMs by name.

    :param is_listed: whether the announcements in the store have been read
    :param is_joining: whether VMs may act that this one does not know
    """

    peers: dict[str, Peer] = attrs.field(factory=dict)
    is_listed: bool = False
    is_joining: bool = False

    def list_alive(self, now: float) -> list[Peer]:
        """Return the VMs whose heartbeats arrived recently."""
        return [peer for peer in self.peers.values() if peer.is_alive(now)]

    def find_sender(self, address: tuple[str, int]) -> str | None:
        """Return the VM that sends from an address, `None` if unknown."""
        return next(
            (
                peer.vm
                for peer in self.peers.values()
                if peer.address == address
            ),
            None,
        )

    def count_vms(self, now: float) -> int:
        """Return the number of VMs that may be running, including this one."""
        return 1 + sum(
            1 for peer in self.peers.values() if peer.needs_heartbeats(now)
        )


def list_caller_addresses(
    peer_table: PeerTable,
    now: float,
    own: str,
    own_ready: bool,
    own_zone: str = "",
    zone: str = "",
) -> list[str]:
    """Return the addresses to which callers may connect.

    Load pattern: callers use only some of the addresses of an answer. In a
    large fleet, the callers of each availability zone therefore get the VMs of
    their zone and some others, chosen by a hash. The answer is the same at all
    VMs, since callers close connections to addresses that a new answer lacks.

    :param own: address of this VM
    :param own_ready: whether this VM is ready
    :param own_zone: availability zone of this VM
    :param zone: availability zone of the callers
    """
    ready = [
        (peer.zone, peer.caller_address)
        for peer in peer_table.list_alive(now)
        if peer.ready and not peer.stopping
    ]
    if own_ready:
        ready.append((own_zone, own))
    if len(ready) > MAX_CALLER_ADDRESSES:
        ready.sort(
            key=lambda item: (item[0] != zone, _compute_hash(zone, item[1]))
        )
    return sorted(address for _, address in ready[:MAX_CALLER_ADDRESSES])


def _compute_hash(zone: str, address: str) -> bytes:
    text = f"{zone}/{address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


# The store counts as unreachable after this time without a successful read.
STORE_UNREACHABLE_S = 2.5


def is_isolated(
    peer_table: PeerTable, store_read_at: float, now: float
) -> bool:
    """Return whether this VM reaches neither the store nor another VM.

    Callers of an isolated VM are better served by the other VMs.

    :param store_read_at: time of the last successful read from the store
    """
    return (
        bool(peer_table.peers)
        and now - store_read_at > STORE_UNREACHABLE_S
        and not peer_table.list_alive(now)
    )
