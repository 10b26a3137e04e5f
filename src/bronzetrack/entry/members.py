"""The other entry VMs: who lives, and what each has in progress."""

from __future__ import annotations

import attrs

# A VM counts as alive for this time after it was last heard.
ALIVE_S = 1.6
# Heartbeats go to a silent VM for this time. One that restarts announces
# itself anew.
FORGET_S = 20.0


@attrs.define(eq=False)
class Peer:
    """Another entry VM.

    :param active: requests in progress by endpoint
    :param uses: adapters in use, by endpoint
    """

    vm: str
    front: str
    address: tuple[str, int]
    zone: str
    announced_at: float
    heard_at: float | None = None
    ready: bool = False
    stopping: bool = False
    incarnation: str = ""
    lease_end: int = -1
    holder: str = ""
    lease_released: bool = False
    active: dict[str, int] = attrs.field(factory=dict)
    uses: set[tuple[str, str, str]] = attrs.field(factory=set)

    def is_alive(self, now: float) -> bool:
        """Return whether the VM was heard lately."""
        return self.heard_at is not None and now - self.heard_at < ALIVE_S

    def is_worth_telling(self, now: float) -> bool:
        """Return whether heartbeats still go to it."""
        latest = max(self.announced_at, self.heard_at or 0.0)
        return now - latest < FORGET_S


@attrs.define(eq=False)
class Members:
    """All other entry VMs by name."""

    peers: dict[str, Peer] = attrs.field(factory=dict)

    def list_alive(self, now: float) -> list[Peer]:
        """Return the VMs that were heard lately."""
        return [peer for peer in self.peers.values() if peer.is_alive(now)]

    def count_vms(self, now: float) -> int:
        """Return the VMs that may be running, with this one."""
        return 1 + sum(
            1 for peer in self.peers.values() if peer.is_worth_telling(now)
        )


def list_fronts(
    members: Members, now: float, own: str, own_ready: bool
) -> list[str]:
    """Return the addresses that callers may use.

    A VM that is ready itself always counts, so that callers get an address
    as long as this VM can serve them.
    """
    fronts = [
        peer.front
        for peer in members.list_alive(now)
        if peer.ready and not peer.stopping
    ]
    if own_ready:
        fronts.append(own)
    return sorted(fronts)


# Without a successful read for this time, the store counts as out of reach.
STORE_SILENCE_S = 2.5


def is_isolated(members: Members, store_read_at: float, now: float) -> bool:
    """Return whether this VM reaches neither the store nor another VM.

    Callers are better served by the other VMs then.

    :param store_read_at: when the store was last read
    """
    return (
        bool(members.peers)
        and now - store_read_at > STORE_SILENCE_S
        and not members.list_alive(now)
    )
