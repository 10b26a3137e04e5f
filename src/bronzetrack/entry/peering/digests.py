"""Encoding and merging of the digests that hubs send.

Digests name VMs and endpoints by 32-bit numbers, as each VM knows the names
from the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import struct
from typing import Generic
from typing import TypeVar

import attrs

from bronzetrack.entry import messages
from bronzetrack.entry.peering import peers

N = TypeVar("N", int, float)

COUNT = struct.Struct("<IH")
WORK = struct.Struct("<H")
MEMBER = struct.Struct("<IBB")
MAX_COUNT = 0xFFFF
# Ages are rounded up to steps, so that repeated reports never look younger.
AGE_STEP_S = 0.02
MAX_AGE_STEPS = 0xFF
READY_FLAG = 1
STOPPING_FLAG = 2
JOINING_FLAG = 4
# Members in one datagram.
MEMBERS_PER_DATAGRAM = 200
# A total that was reported longer ago is not used.
TOTALS_TTL_S = 2.0
# Unit of work in reports, in ms of an endpoint. Rounding by more would add up
# over the VMs, and the largest amount, 6.5 s, is more than an endpoint holds.
WORK_UNIT_MS = 0.1


@attrs.frozen
class Member:
    """State of a VM in a digest.

    :param key: number that stands for the VM
    :param age_s: time since its last heartbeat
    """

    key: int
    age_s: float
    ready: bool
    stopping: bool
    joining: bool = False


def encode_counts(counts: Mapping[str, int]) -> bytes:
    """Encode the requests in progress by endpoint."""
    return b"".join(
        COUNT.pack(peers.compute_key(name), min(MAX_COUNT, count))
        for name, count in counts.items()
        if count > 0
    )


def decode_counts(data: bytes, names: Iterable[str]) -> dict[str, int]:
    """Decode the requests in progress of the endpoints that are known.

    :param names: ids of the known endpoints
    :raises ValueError: the length of the data is wrong
    """
    if len(data) % COUNT.size:
        raise ValueError("counts are cut off")
    by_key = dict(COUNT.iter_unpack(data))
    keys = ((name, peers.compute_key(name)) for name in names)
    return {name: by_key[key] for name, key in keys if key in by_key}


def round_work(work_ms: float) -> int:
    """Return work as a number of units, limited to what reports can hold."""
    return min(messages.MAX_WORK, max(0, round(work_ms / WORK_UNIT_MS)))


def list_work(
    counts: Mapping[str, int], work_ms: Mapping[str, float]
) -> list[int]:
    """Return the work at endpoints in units and in the order of the counts.

    :returns: an empty list if no work is known
    """
    units = [round_work(work_ms.get(name, 0.0)) for name in counts]
    return units if any(units) else []


def name_work(counts: Iterable[str], units: list[int]) -> dict[str, float]:
    """Return the work by endpoint in ms.

    Without work, an endpoint is left out: its requests are not routed by cost
    at the VM that reports it.

    :param units: amounts in the order of the counts, or an empty list
    """
    return {
        name: number * WORK_UNIT_MS
        for name, number in zip(counts, units)
        if number
    }


def encode_work(
    counts: Mapping[str, int], work_ms: Mapping[str, float]
) -> bytes:
    """Encode the work at the endpoints that `encode_counts` encodes."""
    positive = {name: count for name, count in counts.items() if count > 0}
    return b"".join(map(WORK.pack, list_work(positive, work_ms)))


def decode_work(
    data: bytes, totals: bytes, names: Iterable[str]
) -> dict[str, float]:
    """Decode the work in ms at the endpoints that are known.

    :param totals: the encoded counts
    :param names: ids of the known endpoints
    :raises ValueError: the length of the data is wrong
    """
    if not data:
        return {}
    if len(data) * COUNT.size != len(totals) * WORK.size:
        raise ValueError("work has another length than the counts")
    keys = (key for key, _ in COUNT.iter_unpack(totals))
    units = (number for (number,) in WORK.iter_unpack(data))
    by_key = dict(zip(keys, units))
    numbers = {name: by_key.get(peers.compute_key(name), 0) for name in names}
    return name_work(numbers, list(numbers.values()))


def encode_members(members: Iterable[Member]) -> bytes:
    """Encode the state of VMs."""
    return b"".join(
        MEMBER.pack(
            item.key,
            min(MAX_AGE_STEPS, int(item.age_s / AGE_STEP_S) + 1),
            item.ready * READY_FLAG
            + item.stopping * STOPPING_FLAG
            + item.joining * JOINING_FLAG,
        )
        for item in members
    )


def decode_members(data: bytes) -> list[Member]:
    """Decode the state of VMs.

    :raises ValueError: the length of the data is wrong
    """
    if len(data) % MEMBER.size:
        raise ValueError("members are cut off")
    return [
        Member(
            key,
            steps * AGE_STEP_S,
            bool(flags & READY_FLAG),
            bool(flags & STOPPING_FLAG),
            bool(flags & JOINING_FLAG),
        )
        for key, steps, flags in MEMBER.iter_unpack(data)
    ]


def list_members(alive: Iterable[peers.Peer], now: float) -> list[Member]:
    """Return the state of VMs that are alive."""
    return [
        Member(
            peer.key,
            now - peer.last_heartbeat_at,
            peer.ready,
            peer.stopping,
            peer.joining,
        )
        for peer in alive
        if peer.last_heartbeat_at is not None
    ]


def apply_member(peer: peers.Peer, member: Member, now: float) -> bool:
    """Update a VM from a digest unless more recent heartbeats are known.

    :returns: whether the VM became alive, ready or began to stop or to join,
        or ceased to
    """
    heard_at = now - member.age_s
    if peer.last_heartbeat_at is not None and (
        heard_at <= peer.last_heartbeat_at
    ):
        return False
    before = (peer.is_alive(now), *peer.state)
    peer.last_heartbeat_at = heard_at
    peer.state = (member.ready, member.stopping, member.joining)
    return before != (peer.is_alive(now), *peer.state)


@attrs.define(eq=False)
class TotalsTable(Generic[N]):
    """Requests in progress, or their work, of all VMs as hubs reported them.

    :param by_hub: time and totals of the last report of each hub
    """

    by_hub: dict[str, tuple[float, dict[str, N]]] = attrs.field(factory=dict)

    def record(self, hub: str, totals: dict[str, N], now: float) -> None:
        """Record the totals that a hub reported, or that this VM counted."""
        self.by_hub[hub] = (now, totals)

    def find_newest(self) -> tuple[float, dict[str, N]]:
        """Return the time and the totals of the last report."""
        return max(
            self.by_hub.values(),
            key=lambda item: item[0],
            default=(float("-inf"), {}),
        )

    def merge(self, own: Mapping[str, N], now: float) -> dict[str, N]:
        """Return the totals of the other VMs by endpoint.

        A hub that some VMs do not reach reports too few, so that the highest
        count of all hubs is taken.

        :param own: part of this VM, which totals include
        """
        self.by_hub = {
            hub: item
            for hub, item in self.by_hub.items()
            if now - item[0] < TOTALS_TTL_S
        }
        merged: dict[str, N] = {}
        for _, totals in self.by_hub.values():
            for identity, count in totals.items():
                merged[identity] = max(merged.get(identity, 0), count)
        return {
            identity: count - own.get(identity, 0)
            for identity, count in merged.items()
            if count > own.get(identity, 0)
        }


def sum_work(
    subscribers: Iterable[peers.Peer], own: Mapping[str, float]
) -> dict[str, float]:
    """Return the work in ms of this VM and its subscribers."""
    return _sum_by_endpoint(own, (peer.work_ms for peer in subscribers))


def sum_active(
    subscribers: Iterable[peers.Peer], own: Mapping[str, int]
) -> dict[str, int]:
    """Return the requests in progress of this VM and its subscribers."""
    return _sum_by_endpoint(own, (peer.active for peer in subscribers))


def _sum_by_endpoint(
    own: Mapping[str, N], others: Iterable[Mapping[str, N]]
) -> dict[str, N]:
    totals = dict(own)
    for amounts in others:
        for identity, amount in amounts.items():
            totals[identity] = totals.get(identity, 0) + amount
    return totals
