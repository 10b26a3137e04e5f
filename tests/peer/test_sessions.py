"""Tests of sessions between daemons."""

from __future__ import annotations

import collections
import contextlib

import anyio
import attrs
import pytest

from bronzetrack.configuration import messages as configuration_messages
from bronzetrack.core import failures
from bronzetrack.membership import messages
from bronzetrack.peer import hub
from bronzetrack.streaming import messages as answers
from bronzetrack.wire import frames


@attrs.define
class Peer:
    """A hub that listens, and the messages that it delivered.

    :param refusals: by type of message, how many more deliveries are refused
        for lack of room
    """

    hub: hub.PeerHub
    address: str
    delivered: list
    refusals: collections.Counter = attrs.field(factory=collections.Counter)


def make_hello(vm: str, incarnation: str, address: str = "") -> messages.Hello:
    version = messages.PROTOCOL_VERSION
    return messages.Hello(version, vm, incarnation, "zone-a", address, "")


@contextlib.asynccontextmanager
async def run_peer(vm: str, incarnation: str):
    delivered: list = []

    refusals: collections.Counter = collections.Counter()

    def deliver(delivery) -> bool:
        name = type(delivery.message).__name__
        if refusals[name] > 0:
            refusals[name] -= 1
            return False
        delivered.append(delivery)
        return True

    peer_hub = hub.PeerHub(make_hello(vm, incarnation), deliver)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    with anyio.fail_after(10):
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, peer_hub.serve)
            yield Peer(peer_hub, f"127.0.0.1:{port}", delivered, refusals)
            group.cancel_scope.cancel()


async def wait_until(condition) -> None:
    while not condition():
        await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def connect_peers():
    """Run two peers and open a session from the first to the second."""
    async with (
        run_peer("a", "a1") as sender,
        run_peer("b", "b1") as receiver,
        anyio.create_task_group() as group,
    ):
        group.start_soon(sender.hub.connect, receiver.address)
        await wait_until(sender.hub.list_sessions)
        yield sender, receiver
        group.cancel_scope.cancel()


def list_types(peer: Peer) -> list[str]:
    return [type(item.message).__name__ for item in peer.delivered]


def test_restarted_vm_replaces_its_unclosed_session():
    """Guards against a VM that stays unreachable after its replacement."""

    async def check() -> None:
        async with (
            run_peer("a", "a1") as sender,
            run_peer("b", "b1") as old,
            run_peer("b", "b2") as new,
            anyio.create_task_group() as group,
        ):
            group.start_soon(sender.hub.connect, old.address)
            await wait_until(sender.hub.list_sessions)
            group.start_soon(sender.hub.connect, new.address)
            await wait_until(lambda: "SessionClosed" in list_types(sender))
            assert sender.hub.list_sessions() == {"b": new.address}
            opened = [
                item.message.incarnation
                for item in sender.delivered
                if isinstance(item.message, messages.SessionOpened)
            ]
            assert opened == ["b1", "b2"]
            closed = sender.delivered[-1].message
            assert closed == messages.SessionClosed("b", "b1")
            group.cancel_scope.cancel()

    anyio.run(check)


def test_peer_that_reads_nothing_fills_only_its_own_queue():
    """Guards against memory that grows, or a send that waits, for one peer.

    The peer is frozen and does not read from its stream.
    """

    async def check() -> None:
        async with connect_peers() as (sender, receiver):
            part = configuration_messages.ConfigurationSnapshot(
                1, 1, 0, 1, b"x" * 500_000
            )
            sent = [sender.hub.send("b", part) for _ in range(100)]
            assert 1 < sum(sent) < 40
            too_large = attrs.evolve(part, data=b"x" * 2_000_000)
            assert not sender.hub.send("b", too_large)
            names = list_types(receiver)
            await wait_until(lambda: len(list_types(receiver)) > len(names))
            assert sender.hub.list_sessions()

    anyio.run(check)


@pytest.mark.parametrize(
    "address", ["", "nonsense", "127.0.0.1:99999", "host:80", "127.0.0.1:1"]
)
def test_invalid_address_ends_only_the_connection_attempt(address):
    """Guards against an invalid address that crashes the daemon.

    The address comes from a peer or from the list of VMs.
    """

    async def check() -> None:
        async with run_peer("a", "a1") as sender:
            await sender.hub.connect(address)
            assert not sender.hub.list_sessions()

    anyio.run(check)


def test_full_mailbox_delays_the_messages_of_a_peer():
    """Guards against messages that are dropped when many arrive at once."""

    async def check() -> None:
        async with connect_peers() as (sender, receiver):
            receiver.refusals["ProbeWork"] = 3
            sent = [answers.ProbeWork((str(number),)) for number in range(4)]
            assert all(sender.hub.send("b", message) for message in sent)
            await wait_until(lambda: len(receiver.delivered) >= 5)
            assert [item.message for item in receiver.delivered[1:]] == sent

    anyio.run(check)


def test_send_to_own_vm_reports_full_mailbox():
    """Guards against chunks that are lost though they count as sent.

    A VM sends the chunks of its own endpoints to itself.
    """

    async def check() -> None:
        async with run_peer("a", "a1") as sender:
            sender.refusals["ProbeWork"] = 1
            sent = [sender.hub.send("a", answers.ProbeWork(())) for _ in "ab"]
            assert sent == [False, True]

    anyio.run(check)


@pytest.mark.parametrize(
    ("name", "reason"),
    [
        ("x" * frames.FRAME_BYTES, failures.Reason.FRAME_TOO_LARGE),
        ("\ud800", failures.Reason.PEER_PROTOCOL),
    ],
)
def test_unsendable_message_does_not_affect_others(name, reason):
    """Guards against one message that closes the session or drops others."""

    async def check() -> None:
        async with connect_peers() as (sender, receiver):
            sent = [answers.ProbeWork((text,)) for text in ("1", name, "2")]
            found = [sender.hub.try_send("b", message) for message in sent]
            assert found[0] is None and found[2] is None
            assert found[1].reason is reason
            await wait_until(lambda: len(receiver.delivered) >= 3)
            received = [item.message for item in receiver.delivered[1:]]
            assert received == [sent[0], sent[2]]
            assert "SessionClosed" not in list_types(sender)

    anyio.run(check)
