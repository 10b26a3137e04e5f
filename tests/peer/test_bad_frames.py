"""Tests of the peer hub with invalid bytes on a connection."""

from __future__ import annotations

import logging

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.membership import messages
from bronzetrack.peer import hub
from bronzetrack.wire import frames

HELLO = messages.Hello(
    messages.PROTOCOL_VERSION, "vm-2", "i", "zone-a", "127.0.0.1:1", ""
)


@pytest.fixture
def serve():
    """Return a function that lets a hub receive bytes.

    The function returns the messages that the hub delivered.
    """

    def run(data: bytes) -> list:
        delivered: list = []

        def deliver(delivery) -> bool:
            delivered.append(delivery)
            return True

        own_hello = messages.Hello(
            messages.PROTOCOL_VERSION, "vm-1", "i", "zone-a", "", ""
        )
        receiver = hub.PeerHub(own_hello, deliver)
        anyio.run(send_bytes, receiver, data)
        return delivered

    return run


async def send_bytes(receiver: hub.PeerHub, data: bytes) -> None:
    """Let a hub serve one connection that sends bytes and closes."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    served = anyio.Event()

    async def serve(stream) -> None:
        await receiver.serve(stream)
        served.set()

    with anyio.fail_after(10):
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                try:
                    await stream.send(data)
                    await stream.send_eof()
                except (anyio.BrokenResourceError, OSError):
                    pass
                await served.wait()
            group.cancel_scope.cancel()


def encode(message) -> bytes:
    return frames.encode_frame(hub.CODEC.encode(message))


def test_any_bytes_leave_the_hub_serving(serve):
    """Guards against a connection that crashes the whole daemon."""
    payloads = strategies.binary(max_size=40)
    framed = strategies.lists(payloads.map(frames.encode_frame), max_size=3)
    data = strategies.one_of(payloads, framed.map(b"".join))

    @hypothesis.given(strategies.booleans(), data)
    @hypothesis.settings(max_examples=50)
    def check(sends_hello: bool, data: bytes) -> None:
        delivered = serve((encode(HELLO) if sends_hello else b"") + data)
        assert len(delivered) <= 1

    check()


def test_oversized_frame_is_rejected_by_its_prefix(serve, caplog):
    """Guards against a peer that makes a daemon buffer gigabytes."""
    with caplog.at_level(logging.WARNING):
        assert serve(b"\xff\xff\xff\xff" + b"x" * 100) == []
    assert [item.event for item in caplog.records] == ["peer_protocol_error"]
