"""Tests of which connections give way to new ones."""

from __future__ import annotations

import asyncio
import socket

import attrs
import pytest

from bronzetrack.transport import yielding

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"
ROOM = 32
# Clients that send a part of a head, and open again when they are closed.
CROWD = 80
ORDINARY = 40
PART = b"GET /x HTTP/1.1\r\nHo"
# More than the window of a caller, and less than the kernel takes at once.
WINDOW_BYTES = 4 * 1024
LONG_BYTES = 100_000
SILENT, PARTIAL, USED = yielding.Stage
GET = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@attrs.frozen(eq=False)
class Connection:
    """A connection with or without an answer that is not read."""

    has_unsent: bool = False

    def may_give_way(self) -> bool:
        """Return whether no answer is lost."""
        return not self.has_unsent


@pytest.fixture
def resting() -> yielding.RestingConnections[Connection]:
    """Return no connections."""
    return yielding.RestingConnections()


def test_connections_that_never_had_a_request_give_way_first(resting, now):
    """Guards against callers that are cut off by new connections."""
    kept, early, late = Connection(), Connection(), Connection()
    assert resting.choose(None, now) is None
    resting.add(kept, "a", USED, now - 20)
    assert resting.choose(None, now) is kept
    resting.add(early, "a", SILENT, now - 10)
    resting.add(late, "a", PARTIAL, now - 1)
    assert resting.choose(None, now) is early
    # A part of a request arrives.
    resting.add(early, "a", PARTIAL, now)
    assert resting.choose(None, now) is late


def test_connection_that_has_just_opened_may_send_its_request(resting, now):
    """Guards against a crowd that pushes out each new caller."""
    kept, part, fresh = Connection(), Connection(), Connection()
    resting.add(fresh, "a", SILENT, now - yielding.NEW_S / 2)
    resting.add(part, "a", PARTIAL, now)
    resting.add(kept, "a", USED, now - 5)
    assert resting.choose(None, now) is kept
    resting.discard(kept)
    assert resting.choose(None, now) is part
    resting.discard(part)
    assert resting.choose(None, now) is fresh


def test_answers_that_are_not_read_are_not_lost(resting, now):
    """Guards against an answer that ends for a new connection."""
    resting.add(Connection(has_unsent=True), "a", USED, now - 9)
    assert resting.choose(None, now) is None


def test_address_over_its_share_gives_way_to_itself(resting, now):
    """Guards against one client that takes the room of all others."""
    other, own = Connection(), Connection()
    resting.add(other, "a", SILENT, now - 9)
    resting.add(own, "b", SILENT, now - 5)
    assert resting.choose("b", now) is own
    assert yielding.is_over_share(4, 8, 2)
    assert not yielding.is_over_share(3, 8, 2)
    # Without others, there is nobody to whom it would be unfair.
    assert not yielding.is_over_share(8, 8, 1)


async def hold_part(port: int) -> None:
    """Hold a connection with an unfinished head, again and again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(PART)
            await reader.read(-1)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.01)


async def ask(port: int) -> bytes:
    """Send an ordinary request and return the answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(GET)
    try:
        return await asyncio.wait_for(reader.read(-1), 2.0)
    finally:
        writer.close()


async def test_unfinished_heads_keep_nobody_out(listen):
    """Guards against clients that close a listener to all others."""

    async def serve(exchange):
        exchange.respond(200, [], b"")

    listener, port = await listen(serve, room=ROOM)
    tasks = [asyncio.ensure_future(hold_part(port)) for _ in range(CROWD)]
    await asyncio.sleep(0.3)
    answers = [await ask(port) for _ in range(ORDINARY)]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert all(item.startswith(b"HTTP/1.1 200 ") for item in answers)
    assert listener.account.connections <= 2 * ROOM


async def test_answer_in_the_buffers_of_the_kernel_is_not_lost(listen):
    """Guards against a reset before a caller has read its answer."""

    async def serve(exchange):
        exchange.respond(200, [], LONG_BYTES * b"a")

    _, port = await listen(serve, room=1)
    loop = asyncio.get_running_loop()
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, port))
        await loop.sock_sendall(client, GET.replace(b"close", b"keep-alive"))
        await asyncio.sleep(0.3)
        assert (await ask(port)).startswith(b"HTTP/1.1 503 ")
        size = 0
        while size < LONG_BYTES:
            part = await asyncio.wait_for(loop.sock_recv(client, 65_536), 2.0)
            assert part
            size += len(part)


async def test_unfinished_request_that_gives_way_is_refused(listen):
    """Guards against a close that leaves open whether a request ran."""

    async def serve(exchange):
        exchange.respond(200, [], b"")

    listener, port = await listen(serve, room=1)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(PART)
    await asyncio.sleep(0.2)
    assert (await ask(port)).startswith(b"HTTP/1.1 200 ")
    assert (await reader.read(-1)).startswith(b"HTTP/1.1 503 ")
    writer.close()
