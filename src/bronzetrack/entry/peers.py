"""The other entry VMs, their liveness and their requests in progress."""

from __future__ import annotations

import attrs

# A VM counts as alive for this time after its last heartbeat.
ALIVE_TIMEOUT_S = 1.6
# Heartbeats are sent to a VM for this time after its last heartbeat or
# announcement. A VM that restarts announces itself again.
PEER_EXPIRY_S = 20.0


@attrs.define(eq=False)
class Peer:
    """Another entry VM with the content of its last heartbeats.

    :param vm: name of the VM
    :param caller_address: address that callers connect to
    :param address: address that heartbeats are sent to
    :param announced_at: when the VM last announced itself in the store, or
        when its first heartbeat arrived
    :param last_heartbeat_at: when its last heartbeat arrived, None before the
        first
    :param incarnation: id of the VM's current run
    :param lease_end: end of the lease log that the VM knows, -1 if unknown
    :param holder: holder of the lease that the VM knows
    :param lease_released: whether the VM knows that the lease was released
    :param active: number of requests in progress by endpoint
    :param uses: endpoint, model and adapter of each adapter in use
    """

    vm: str
    caller_address: str
    address: tuple[str, int]
    zone: str
    announced_at: float
    last_heartbeat_at: float | None = None
    ready: bool = False
    stopping: bool = False
    incarnation: str = ""
    lease_end: int = -1
    holder: str = ""
    lease_released: bool = False
    active: dict[str, int] = attrs.field(factory=dict)
    uses: set[tuple[str, str, str]] = attrs.field(factory=set)

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


@attrs.define(eq=False)
class PeerTable:
    """All other known entry VMs by name."""

    peers: dict[str, Peer] = attrs.field(factory=dict)

    def list_alive(self, now: float) -> list[Peer]:
        """Return the VMs whose heartbeats arrived recently."""
        return [peer for peer in self.peers.values() if peer.is_alive(now)]

    def count_vms(self, now: float) -> int:
        """Return the number of VMs that may be running, including this one."""
        return 1 + sum(
            1 for peer in self.peers.values() if peer.needs_heartbeats(now)
        )


def list_caller_addresses(
    peer_table: PeerTable, now: float, own: str, own_ready: bool
) -> list[str]:
    """Return the addresses to which callers may connect.

    The address of this VM is always included while this VM is ready, so that
    callers get an address as long as this VM can serve them.

    :param own: address of this VM
    :param own_ready: whether this VM is ready
    """
    addresses = [
        peer.caller_address
        for peer in peer_table.list_alive(now)
        if peer.ready and not peer.stopping
    ]
    if own_ready:
        addresses.append(own)
    return sorted(addresses)


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
