"""Tests of datagrams and announcements that the controller receives."""

from __future__ import annotations

from collections.abc import Callable
import time
import types

import anyio
import attrs
from entry import links
import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.entry.peering import datagrams
from bronzetrack.entry.peering import digests
from bronzetrack.entry.peering import hubs
from bronzetrack.entry.peering import peers
from bronzetrack.entry.peering import placementdigests
from bronzetrack.platform import store as stores

PEER = ("127.0.0.1", 9)
# Number of fields with the last two, which may be missing.
FIELD_COUNTS = {
    "h": 11,
    "u": 2,
    "w": 9,
    "p": 4,
    "l": 1,
    "d": 17,
    "m": 2,
    "b": 1,
}
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.sampled_from(["", "vm-2", "e", b"", b"12345", b"123456"]),
    lambda inner: strategies.lists(inner, max_size=2)
    | strategies.dictionaries(
        strategies.sampled_from(["e", "m", 1]), inner, max_size=2
    ),
    max_leaves=4,
)


@pytest.fixture
def membership(make_controller, board) -> roles.Controller:
    """Membership controller of a VM that is ready."""
    board.lifecycle.value.ready = True
    return make_controller("membership")


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    strategies.sampled_from(sorted(FIELD_COUNTS)).flatmap(
        lambda tag: strategies.lists(
            VALUES,
            min_size=max(0, FIELD_COUNTS[tag] - 2),
            max_size=FIELD_COUNTS[tag],
        ).map(lambda fields: [tag, *fields])
    )
)
def test_fields_of_any_type_do_not_end_the_process(membership, now, message):
    """Guards against an exception in the datagram callback.

    It would end the process.
    """
    heartbeat = messages.Heartbeat(
        "vm-2", "f:1", "z", True, False, 3, "v", False, {"e": 1}
    )
    membership.receive(messages.encode(heartbeat), PEER)
    membership.receive(msgpack.packb(message), PEER)
    table = membership.board.membership.value.peer_table
    subscribers = hubs.list_subscribers(table, now)
    totals = digests.sum_active(subscribers, {})
    assert all(isinstance(count, int) for count in totals.values())
    assert isinstance(membership.board.membership.value.lease_report.end, int)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xc1", *map(msgpack.packb, (3, [1], ["f", 4, 5, "z"]))],
)
def test_invalid_announcement_is_ignored(membership, value):
    """Guards against one VM's announcement that ends another's process."""
    membership.announcements.apply(stores.KeyedRecord("vm-2", value, 0))
    assert not membership.board.membership.value.peer_table.peers


def test_announced_vm_becomes_a_peer(membership):
    """Guards against a check that rejects valid announcements."""
    value = msgpack.packb(["f:1", "127.0.0.1", 9, "z"])
    membership.announcements.apply(stores.KeyedRecord("vm-2", value, 0))
    peer = membership.board.membership.value.peer_table.peers["vm-2"]
    assert (peer.caller_address, peer.address, peer.zone) == ("f:1", PEER, "z")


@attrs.define
class Network:
    """Network of 72 VMs behind the link of one VM.

    :param arrived: datagrams by address
    """

    link: links.Link = attrs.field(factory=links.Link)
    arrived: dict[tuple[str, int], list[bytes]] = attrs.field(factory=dict)

    def sendto(self, data, address):
        """Let a datagram arrive if the link has room for it."""
        if self.link.accept(data, time.monotonic()):
            self.arrived.setdefault(address, []).append(data)

    def list_messages(self, address):
        """Return the messages that have arrived, and changes of digests."""
        return [
            inner
            for data in self.arrived.get(address, ())
            for inner in unpack(messages.decode(data))
        ]


def unpack(message):
    """Yield the messages in a bundle, and the changes in a digest."""
    match message:
        case messages.Bundle():
            for item in message.items:
                yield from unpack(messages.decode(item))
        case messages.PlacementDigest():
            yield from placementdigests.decode(message, ["i-1"])
        case _:
            yield message


@pytest.fixture
def connect(membership, board, now) -> Callable[[float], Network]:
    """Function that connects a VM to 72 others over a link."""

    def start(link_mbps):
        board.settings = attrs.evolve(board.settings, link_mbps=link_mbps)
        network = Network(links.Link(link_mbps * 1e6 / 8))
        table = board.membership.value.peer_table
        for number in range(72):
            peer = peers.Peer(f"vm-{number}", "f:1", ("h", number), "z", now)
            peer.last_heartbeat_at = now
            table.peers[peer.vm] = peer
        membership._sender = datagrams.DatagramSender(
            board, types.SimpleNamespace(transport=network)
        )
        return network

    return start


async def send_news(membership, time_s):
    """Let the tasks that send news run for a while."""
    with anyio.move_on_after(time_s):
        async with anyio.create_task_group() as group:
            group.start_soon(membership._send_outgoing)
            group.start_soon(membership._send_news)


LEAVES = messages.EndpointLeaves("i-1", "i-1/1")


@pytest.mark.anyio
async def test_news_lost_in_a_burst_does_not_reach_all_vms(
    membership, board, connect
):
    """Guards against VMs that miss that an endpoint leaves."""
    network = connect(5.0)
    for number in range(40):
        change = messages.HoldingChange(f"i-{number:010}", "m", "a" * 8, 1)
        board.outgoing.post(change)
    board.outgoing.post(LEAVES)
    await send_news(membership, 1.5)
    assert len(network.arrived) == 72
    assert len({len(items) for items in network.arrived.values()}) == 1
    assert all(
        LEAVES in network.list_messages(item) for item in network.arrived
    )


@pytest.mark.anyio
@pytest.mark.parametrize(("link_mbps", "told"), [(100.0, 300), (5.0, 60)])
async def test_news_that_waits_behind_placements_comes_late(
    membership, board, connect, link_mbps, told
):
    """Guards against a queue that grows while a holder places adapters.

    A link that is too narrow loses the oldest placements, and no other news. A
    link of 5 Mbit/s has room for 240 changes a second.
    """
    network = connect(link_mbps)
    changes = [
        messages.HoldingChange("i-1", "m", f"a{number:08}", version)
        for version in (1, 2)
        for number in range(300)
    ]
    for message in (*changes[:400], LEAVES, *changes[400:]):
        board.outgoing.post(message)
    await send_news(membership, 0.5)
    assert len(network.arrived) == 72
    for address in network.arrived:
        items = network.list_messages(address)
        assert LEAVES in items
        placed = [item for item in items if item != LEAVES]
        assert len(placed) >= told
        assert placed == changes[-len(placed) :]
