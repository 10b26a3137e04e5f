"""Tests of peers that read slowly, and of peers that are gone."""

from __future__ import annotations

import asyncio
import socket

import pytest

from bronzetrack.transport import connections
from bronzetrack.transport import liveness

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"
# Links have small windows.
WINDOW_BYTES = 16 * 1024
# More than the time-outs for peers that are gone.
CALLER_PAUSE_S = 6.0
ENDPOINT_PAUSE_S = 2.5
# More than the buffers of both ends hold.
LONG_BYTES = 6_000_000
HEAD = (
    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES
)
# Of a peer that is gone, the kernel tells such a state.
GONE = liveness.PeerState(9, 3, 0, 2.0)


class Receiver:
    """Receives one response.

    :ivar end: how it ended
    """

    def __init__(self) -> None:
        self.end = asyncio.get_running_loop().create_future()

    def on_head(self, head) -> None:
        """Ignore the head."""

    def on_data(self, data) -> None:
        """Ignore the body."""

    def on_end(self, end) -> None:
        """Note the end."""
        self.end.set_result(end)


@pytest.fixture
async def upload():
    """Function that uploads a long body to a peer that pauses first.

    It returns how the response ended.
    """
    servers = []

    async def run(pause_s: float) -> connections.ResponseEnd:
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(pause_s)
            await reader.readexactly(LONG_BYTES)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind((HOST, 0))
        servers.append(
            await asyncio.start_server(
                answer, sock=listening, limit=WINDOW_BYTES
            )
        )
        pool = connections.Pool("%s:%d" % listening.getsockname())
        connection = await pool.connect()
        receiver = Receiver()
        connection.send(HEAD + LONG_BYTES * b"a", receiver, b"", False)
        try:
            return await asyncio.wait_for(receiver.end, 20)
        finally:
            connection.abort()

    yield run
    for server in servers:
        server.close()


@pytest.mark.parametrize(
    ("state", "waited_s", "expected"),
    [
        (liveness.PeerState(9, 0, 0, 9.0), 9.0, False),
        (liveness.PeerState(9, 0, 1, 9.0), 9.0, False),
        (liveness.PeerState(9, 0, 2, 9.0), 9.0, True),
        (liveness.PeerState(9, 1, 0, 9.0), 9.0, True),
        (liveness.PeerState(9, 1, 0, 0.1), 9.0, False),
        (liveness.PeerState(9, 1, 0, 9.0), 0.3, False),
    ],
    ids=["sent", "probed", "silent", "sent again", "acknowledged", "new"],
)
def test_peer_is_gone_if_it_acknowledges_nothing(state, waited_s, expected):
    """Guards against an end of connections whose peer reads slowly.

    On loopback no peer falls silent, as its kernel answers for it.
    """
    assert state.is_gone(waited_s, 1.5) is expected


async def test_upload_to_a_peer_that_reads_late_goes_on(upload):
    """Guards against a reset of an endpoint that stops reading for a while."""
    end = await upload(ENDPOINT_PAUSE_S)
    assert end is connections.ResponseEnd.COMPLETE


async def test_upload_to_a_peer_that_is_gone_ends(upload, monkeypatch):
    """Guards against a request that waits for an endpoint that is gone."""
    monkeypatch.setattr(liveness, "read_state", lambda tcp_socket: GONE)
    async with asyncio.timeout(ENDPOINT_PAUSE_S):
        end = await upload(9.0)
    assert end is connections.ResponseEnd.TRUNCATED


@pytest.fixture
async def download(listen):
    """Function that reads a long answer after a pause.

    It returns the bytes that arrived, and the listener closes its expired
    connections meanwhile.
    """

    async def run(pause_s: float, **limits: float) -> int:
        async def serve(exchange):
            exchange.respond(200, [], LONG_BYTES * b"a")

        async def expire():
            while True:
                await asyncio.sleep(0.1)
                listener.close_expired(listener.read_clock())

        listener, port = await listen(serve, **limits)
        task = asyncio.ensure_future(expire())
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (HOST, port))
        await loop.sock_sendall(
            client, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        )
        await asyncio.sleep(pause_s)
        size = 0
        try:
            while data := await loop.sock_recv(client, 1_048_576):
                size += len(data)
        except ConnectionError:
            pass
        finally:
            task.cancel()
            client.close()
        return size

    return run


async def test_caller_that_reads_late_gets_its_answer(download):
    """Guards against a lost answer of a request that ran."""
    assert await download(CALLER_PAUSE_S) > LONG_BYTES


async def test_caller_that_is_gone_is_disconnected(download, monkeypatch):
    """Guards against connections that are kept for callers that are gone."""
    gone = liveness.PeerState(9, 3, 0, 9.0)
    monkeypatch.setattr(liveness, "read_state", lambda tcp_socket: gone)
    assert await download(CALLER_PAUSE_S) < LONG_BYTES


async def test_caller_that_reads_nothing_is_disconnected(download):
    """Guards against an answer that is kept for ever."""
    assert await download(1.0, idle_timeout_s=0.3) < LONG_BYTES
