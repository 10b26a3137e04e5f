"""Choice of the VMs that collect heartbeats and send digests of them.

Each VM sends its heartbeats to a few hubs. A hub is any VM that receives
heartbeats; it sends digests of all that it knows to their senders. The work
of a VM that is no hub thus does not grow with the number of VMs.
"""

from __future__ import annotations

import math
import random

from bronzetrack.entry.peering import peers

# Time between two heartbeats to the hubs.
HEARTBEAT_INTERVAL_S = 0.3
# Time between two load digests, and two member digests, of a hub to one VM.
LOAD_DIGEST_INTERVAL_S = 0.6
MEMBER_DIGEST_INTERVAL_S = 1.2
# A hub sends the digests that have become due at this interval. Those to all
# VMs at once would exceed the queue of a narrow link.
DIGEST_SLOT_S = 0.05
# A hub looks for silent VMs with each of this many heartbeats.
SILENT_TICKS = 4
# Number of different times within an interval at which VMs get digests.
DIGEST_PHASES = 1_009
# Number of hubs that a VM sends heartbeats to.
HUBS = 3
# A VM that was announced, but never heard, may become a hub for this time.
FIRST_HEARTBEAT_S = 2.0
# A VM that hears no hub for this time looks for others.
HUB_SILENCE_S = 1.0
# Number of VMs that it asks each time.
PROBES = 3
# A VM relies on hubs for news of the store while one of them has read it
# within this time. An endpoint that leaves may get requests for two seconds.
VIEW_TTL_S = 1.75


def choose_hubs(
    peer_table: peers.PeerTable, own_vm: str, now: float
) -> list[peers.Peer]:
    """Return the hubs among the other VMs.

    All VMs that know the same VMs choose the same hubs, which may include the
    VM itself.

    :param own_vm: name of this VM
    """
    known = [
        peer
        for peer in peer_table.peers.values()
        if peer.needs_heartbeats(now) and not peer.stopping
    ]
    known.sort(key=lambda peer: (not _may_be_alive(peer, now), peer.key))
    own_key = peers.compute_key(own_vm)
    chosen = known[:HUBS]
    if len(chosen) == HUBS and own_key < chosen[-1].key:
        chosen.pop()
    return chosen


def _may_be_alive(peer: peers.Peer, now: float) -> bool:
    if peer.last_heartbeat_at is None:
        return now - peer.announced_at < FIRST_HEARTBEAT_S
    return peer.is_alive(now)


def choose_probes(
    peer_table: peers.PeerTable,
    hubs: list[peers.Peer],
    now: float,
    generator: random.Random,
) -> list[peers.Peer]:
    """Return further VMs to send a heartbeat to, as no hub was heard.

    Load pattern: a partition leaves this VM with VMs that are not hubs, or
    with none.
    """
    others = [peer for peer in peer_table.peers.values() if peer not in hubs]
    recent = [peer for peer in others if peer.needs_heartbeats(now)]
    others = recent or others
    return generator.sample(others, min(PROBES, len(others)))


def choose_silent(
    peer_table: peers.PeerTable, now: float, generator: random.Random
) -> peers.Peer | None:
    """Return a VM that is not heard, to which a hub sends a heartbeat.

    Load pattern: after a long cut, the VMs of neither part send anything to
    those of the other.
    """
    silent = [
        peer for peer in peer_table.peers.values() if not peer.is_alive(now)
    ]
    return generator.choice(silent) if silent else None


def list_subscribers(
    peer_table: peers.PeerTable, now: float
) -> list[peers.Peer]:
    """Return the VMs whose heartbeats arrive at this VM."""
    return [
        peer
        for peer in peer_table.peers.values()
        if peer.subscribed_at is not None
        and now - peer.subscribed_at < peers.ALIVE_TIMEOUT_S
    ]


def list_due(
    subscribers: list[peers.Peer],
    own_vm: str,
    interval_s: float,
    since: float,
    now: float,
) -> list[peers.Peer]:
    """Return the VMs that get a digest in a part of the interval.

    Load pattern: a hub has digests for hundreds of VMs, and a link that loses
    the end of a burst. Each VM has a time of its own in the interval, which
    differs from hub to hub.

    :param own_vm: name of this VM
    :param interval_s: time between two digests to the same VM
    :param since: end of the previous part, which began at most an interval
        ago
    """
    own_key = peers.compute_key(own_vm)

    def count_intervals(peer: peers.Peer, at: float) -> int:
        phase = (peer.key ^ own_key) % DIGEST_PHASES / DIGEST_PHASES
        return math.floor(at / interval_s - phase)

    return [
        peer
        for peer in subscribers
        if count_intervals(peer, now) > count_intervals(peer, since)
    ]


def list_silent_subscribers(
    peer_table: peers.PeerTable, now: float
) -> list[peers.Peer]:
    """Return the VMs that sent heartbeats to this VM until they fell silent.

    One that restarted while the store is unavailable knows no other VM until
    it gets a digest.
    """
    return [
        peer
        for peer in peer_table.peers.values()
        if peer.subscribed_at is not None
        and now - peer.subscribed_at < peers.PEER_EXPIRY_S
        and not peer.is_alive(now)
    ]
