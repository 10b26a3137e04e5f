"""Tests of callers' connections with valid, malformed and slow requests."""

from __future__ import annotations

import asyncio
import socket
import time

import anyio
import pytest

from bronzetrack.transport import account

pytestmark = pytest.mark.anyio
# More than the buffers of both ends of a connection hold.
LONG_BYTES = 50_000_000
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(exchange):
    """Respond with the target and the body of the request."""
    body = exchange.head.target + b" " + exchange.body
    exchange.respond(200, [(b"X-Test", b"1")], body)


async def send_parts(port, *parts, pause_s=0.0, limit_s=2.0):
    """Send parts and return the bytes received before the end or the limit.

    :param pause_s: pause after each part, in seconds
    :param limit_s: longest time to receive, in seconds
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause_s)
    received = b""
    try:
        async with asyncio.timeout(limit_s):
            while data := await reader.read(65_536):
                received += data
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


async def test_requests_on_one_connection_are_answered_in_order(listen):
    """Guards against responses in another order than the requests."""
    _, port = await listen(echo)
    second = b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    received = await send_parts(
        port, GET + second + b"Connection: close\r\n\r\nab", limit_s=1.0
    )
    assert received.index(b"/x ") < received.index(b"/y ab")


async def test_chunked_body_is_joined(listen):
    """Guards against a chunked body that is passed on with its framing."""
    _, port = await listen(echo)
    head = b"POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    received = await send_parts(
        port,
        head + b"Connection: close\r\n\r\n",
        b"2\r\nab\r\n",
        b"1\r\nc\r\n0\r\n\r\n",
        pause_s=0.02,
    )
    assert received.endswith(b"/y abc")


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: +3\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Host: other\r\n",
        b"Bad Name: 1\r\n",
    ],
)
async def test_ambiguous_request_is_rejected_and_the_connection_closed(
    listen, headers
):
    """Guards against a request smuggled inside another one."""
    served_targets = []

    async def serve(exchange):
        served_targets.append(exchange.head.target)
        exchange.respond(200, [], b"")

    _, port = await listen(serve)
    head = b"POST /y HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n"
    received = await send_parts(port, head + b"0\r\n\r\n" + GET)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1") == 1
    assert not served_targets


async def test_oversized_heads_and_bodies_are_rejected(listen):
    """Guards against a caller that exhausts the memory."""
    _, port = await listen(echo, header_bytes=500, body_bytes=10)
    long_head = b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 600
    assert (await send_parts(port, long_head)).startswith(b"HTTP/1.1 431 ")
    head = b"POST /y HTTP/1.1\r\nHost: h\r\n"
    stated = head + b"Content-Length: 11\r\n\r\n"
    assert (await send_parts(port, stated)).startswith(b"HTTP/1.1 413 ")
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\nb\r\n0123456789a\r\n"
    assert (await send_parts(port, chunked)).startswith(b"HTTP/1.1 413 ")


async def test_slow_head_and_idle_connection_time_out(listen):
    """Guards against connections that stay open without a request."""
    listener, port = await listen(
        echo, header_timeout_s=0.1, idle_timeout_s=0.1
    )
    slow_head = asyncio.ensure_future(send_parts(port, b"GET /x HT"))
    idle_connection = asyncio.ensure_future(send_parts(port))
    # On a busy machine the head may arrive after the idle timeout.
    async with asyncio.timeout(5):
        while listener.count_busy() < 1 or len(listener.connections) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.25)
    listener.close_expired(time.monotonic())
    assert (await slow_head).startswith(b"HTTP/1.1 408 ")
    assert await idle_connection == b""


async def test_caller_disconnect_cancels_its_request(listen):
    """Guards against work for a caller that has disconnected."""
    cancelled = asyncio.Event()

    async def serve(exchange):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    _, port = await listen(serve)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(GET)
    await asyncio.sleep(0.1)
    writer.close()
    await asyncio.wait_for(cancelled.wait(), 2)


async def test_aborted_stream_does_not_look_complete(listen):
    """Guards against a partial response that a caller treats as complete."""

    async def serve(exchange):
        exchange.start(200, [])
        exchange.write(b"part")
        exchange.abort()

    _, port = await listen(serve)
    assert not (await send_parts(port, GET)).endswith(b"0\r\n\r\n")


async def test_stream_is_sent_before_it_ends(listen):
    """Guards against events that are buffered until the response ends."""
    may_finish = asyncio.Event()

    async def serve(exchange):
        exchange.start(200, [])
        exchange.write(b"first")
        await may_finish.wait()
        exchange.finish()

    _, port = await listen(serve)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(GET)
    async with asyncio.timeout(2):
        assert b"first" in await reader.readuntil(b"first\r\n")
    may_finish.set()
    async with asyncio.timeout(2):
        assert await reader.readuntil(b"0\r\n\r\n")
    writer.close()


async def test_handler_without_a_response_closes_the_connection(listen):
    """Guards against a caller that waits forever for a response."""

    async def serve(exchange):
        return None

    _, port = await listen(serve)
    assert await send_parts(port, GET) == b""


async def test_failed_handler_closes_the_connection_and_is_logged(
    listen, caplog
):
    """Guards against a caller that waits forever, and an unlogged error."""

    async def serve(exchange):
        raise ValueError("broken handler")

    _, port = await listen(serve)
    received = await asyncio.wait_for(send_parts(port, GET), 2)
    assert received == b""
    [line] = [item for item in caplog.records if item.event]
    assert line.event == "request_failed"
    assert line.exc_info[0] is ValueError


async def test_closing_listener_closes_connections_after_a_response(listen):
    """Guards against a planned stop that interrupts requests."""
    listener, port = await listen(echo)
    listener.closing = True
    received = await send_parts(port, GET)
    assert b"Connection: close" in received
    assert received.endswith(b"/x ")


async def test_continue_is_sent_when_expected(listen):
    """Guards against a caller that waits before it sends its body."""
    _, port = await listen(echo)
    head = b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    received = await send_parts(
        port,
        head + b"Expect: 100-continue\r\nConnection: close\r\n\r\n",
        b"ab",
        pause_s=0.05,
    )
    assert received.startswith(b"HTTP/1.1 100 ")
    assert received.endswith(b"/y ab")


CHUNKED = b"POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


async def test_trailers_of_a_request_are_dropped(listen):
    """Guards against headers that pass the check of the framing."""

    async def list_names(exchange):
        body = b",".join(name for name, _ in exchange.head.headers)
        exchange.respond(200, [], body)

    _, port = await listen(list_names)
    trailers = b"2\r\nab\r\n0\r\nX-Pin-Ms: 9\r\nX-Late: 1\r\n\r\n"
    received = await send_parts(port, CHUNKED + trailers, limit_s=0.5)
    assert received.endswith(b"Host,Transfer-Encoding")


@pytest.mark.parametrize(
    ("prefix", "part"),
    [
        (b"1;", b"a"),
        (b"1\r\na\r\n0\r\n", b"X-Late: 1\r\n"),
        (b"1\r\na\r\n0\r\nX-Late: ", b"a"),
    ],
    ids=["chunk extension", "trailers", "trailer value"],
)
async def test_endless_framing_of_a_body_is_rejected(listen, prefix, part):
    """Guards against a caller that fills the memory of the VM."""
    listener, port = await listen(echo, header_bytes=4_096)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(CHUNKED + prefix)
    block = part * (65_536 // len(part))
    async with asyncio.timeout(5):
        try:
            for _ in range(1_000):
                writer.write(block)
                await writer.drain()
            await reader.read()
            closed = False
        except ConnectionError:
            closed = True
    writer.close()
    assert closed
    assert not listener.connections


async def test_stalled_body_times_out_and_a_slow_one_does_not(listen):
    """Guards against a body that sends a byte now and then for ever."""
    listener, port = await listen(echo, header_timeout_s=0.2)
    head = b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"

    async def expire():
        while True:
            listener.close_expired(time.monotonic())
            await asyncio.sleep(0.02)

    task = asyncio.ensure_future(expire())
    stalled = await send_parts(port, head, *[b"a"] * 2, pause_s=0.07)
    slow = await send_parts(
        port, head, *[b"a" * 100] * 9, pause_s=0.05, limit_s=0.3
    )
    task.cancel()
    assert stalled.startswith(b"HTTP/1.1 408")
    assert slow.startswith(b"HTTP/1.1 200")


async def test_aborted_answer_is_reset_for_callers_without_chunks(listen):
    """Guards against an answer cut halfway that looks complete.

    An answer to an HTTP/1.0 caller ends with its connection.
    """

    async def break_off(exchange):
        exchange.start(200, [])
        exchange.write(b"half")
        await asyncio.sleep(0.05)
        exchange.abort()

    _, port = await listen(break_off)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
    with pytest.raises(ConnectionResetError):
        async with asyncio.timeout(2):
            while await reader.read(65_536):
                pass
    writer.close()


async def test_answer_behind_an_unread_one_is_paused_at_once(listen):
    """Guards against an answer that is kept in memory without a limit.

    The caller does not read. An answer that begins while the buffer of its
    connection is full is never told so by the transport.
    """
    changes = []

    async def serve(exchange):
        if exchange.head.target == b"/x":
            exchange.respond(200, [], b"a" * LONG_BYTES)
        else:
            exchange.watch_writable(changes.append)
            exchange.start(200, [])
            exchange.write(b"b")
            exchange.finish()

    _, port = await listen(serve)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(GET + GET.replace(b"/x", b"/y"))
    await asyncio.sleep(0.3)
    writer.close()
    assert changes == [False]


@pytest.mark.parametrize("first", ["deadline", "disconnect"])
async def test_request_ends_with_its_caller_whatever_ends_at_that_moment(
    listen, first
):
    """Guards against work for a caller that has left.

    The deadline of a wait within the request and the loss of the connection
    are handled in one pass of the event loop.
    """
    went_on = []
    ended = asyncio.Event()

    async def serve(exchange):
        loop = asyncio.get_running_loop()
        lose = exchange._connection.connection_lost
        try:
            if first == "disconnect":
                loop.call_later(0.01, lose, None)
            with anyio.move_on_after(0.01):
                if first == "deadline":
                    loop.call_later(0.01, lose, None)
                time.sleep(0.05)
                await anyio.sleep_forever()
            await anyio.sleep(0.05)
            went_on.append(exchange)
        finally:
            ended.set()

    _, port = await listen(serve)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(GET)
    async with asyncio.timeout(2):
        await ended.wait()
    writer.close()
    assert not went_on


async def test_requests_in_a_row_are_answered_although_the_listener_closes(
    listen,
):
    """Guards against requests that were read and get no answer.

    They wait behind another on their connection when a planned stop begins.
    """
    released = asyncio.Event()

    async def serve(exchange):
        await released.wait()
        await echo(exchange)

    listener, port = await listen(serve)
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, listener.stop_listening)
    loop.call_later(0.2, released.set)
    received = await send_parts(port, GET + GET.replace(b"/x", b"/y"))
    assert received.index(b"/x ") < received.index(b"/y ")
    assert received.count(b"Connection: close") == 1
    assert received.index(b"/x ") < received.index(b"Connection: close")


async def test_connection_ends_with_an_answer_that_said_so(listen):
    """Guards against an answer on a connection that its caller gave up.

    The second request arrives after the head of the first answer.
    """

    async def serve(exchange):
        exchange.start(200, [])
        await asyncio.sleep(0.3)
        exchange.write(exchange.head.target)
        exchange.finish()

    listener, port = await listen(serve)
    listener.closing = True
    received = await send_parts(
        port, GET, GET.replace(b"/x", b"/y"), pause_s=0.1
    )
    assert received.count(b"Connection: close") == 1
    assert b"/y" not in received


async def test_answer_that_is_not_flushed_counts_as_in_progress(listen):
    """Guards against an answer whose end is lost when the process exits."""

    async def serve(exchange):
        exchange.respond(200, [], b"a" * LONG_BYTES)

    listener, port = await listen(serve)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(GET)
    await asyncio.sleep(0.3)
    listener.stop_listening()
    assert listener.count_busy() == 1
    async with asyncio.timeout(10):
        received = await reader.read()
    assert len(received) > LONG_BYTES
    await asyncio.sleep(0.1)
    assert listener.count_busy() == 0
    writer.close()


async def test_idle_connection_is_reused_up_to_its_timeout(listen):
    """Guards against a kept connection that is closed when it is reused."""
    listener, port = await listen(echo, idle_timeout_s=1.0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(2):
        writer.write(GET)
        async with asyncio.timeout(2):
            assert await reader.readuntil(b"/x ")
        await asyncio.sleep(0.3)
        [connection] = listener.connections
        listener.close_expired(connection.idle_since + 0.8)
    writer.close()


async def test_idle_connections_make_room_for_new_ones(listen):
    """Guards against idle connections that keep all others out."""
    listener, port = await listen(echo)
    listener.max_connections = 2
    idle = [await asyncio.open_connection("127.0.0.1", port) for _ in "ab"]
    assert b"/x " in await send_parts(port, GET, limit_s=0.3)
    assert len(listener.connections) <= 2
    for _, writer in idle:
        writer.close()


async def test_connection_beyond_the_limit_is_told_so(listen):
    """Guards against a connection that is closed without a reason."""

    async def serve(exchange):
        await asyncio.sleep(5.0)

    listener, port = await listen(serve)
    listener.max_connections = 1
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(GET)
    await asyncio.sleep(0.1)
    assert (await send_parts(port)).startswith(b"HTTP/1.1 503 ")
    writer.close()


async def test_body_without_memory_is_refused_once_and_not_parsed(listen):
    """Guards against bytes of a refused body that are taken for a request."""
    listener, port = await listen(echo)
    listener.account.change(account.Holder.REQUESTS, listener.account.capacity)
    received = await send_parts(port, CHUNKED + b"19\r\n" + GET + b"\r\n")
    assert received.startswith(b"HTTP/1.1 503 ")
    assert received.count(b"HTTP/1.1") == 1


async def test_refusal_reaches_a_caller_that_still_sends(listen):
    """Guards against a reset that hides why a request was refused."""
    listener, port = await listen(echo, body_bytes=8_000_000)
    listener.account.change(account.Holder.REQUESTS, listener.account.capacity)
    head = b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"
    received = await send_parts(port, head, *[b"a" * 1_000_000] * 4)
    assert received.startswith(b"HTTP/1.1 503 ")
    await asyncio.sleep(0.1)
    assert not listener.connections


async def test_input_after_a_rejected_request_is_no_work(listen):
    """Guards against a planned stop that waits for discarded requests."""
    listener, port = await listen(echo, body_bytes=10)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    body = b"b\r\n0123456789a\r\n0\r\n\r\n"
    writer.write(CHUNKED + body + GET[:-2])
    await asyncio.sleep(0.2)
    assert not listener.count_busy()
    writer.close()


async def test_caller_that_leaves_as_it_is_refused_raises_nothing(listen):
    """Guards against an end of the process as a refused caller just left."""
    listener, port = await listen(echo)
    for _ in range(5):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /x HTTP/1.1\r\nHo")
        await asyncio.sleep(0.05)
        # The listener has not yet read that the connection ended.
        writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        writer.transport.abort()
        await asyncio.sleep(0)
        listener.close_expired(time.monotonic() + 10)
    await asyncio.sleep(0.05)
    assert not listener.connections


async def test_interim_response_waits_for_the_response_before_it(listen):
    """Guards against an interim response within another request's answer."""

    async def serve(exchange):
        exchange.start(200, [])
        exchange.write(b"he")
        await asyncio.sleep(0.2)
        exchange.write(b"re")
        exchange.finish()

    _, port = await listen(serve)
    expecting = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
    )
    received = await send_parts(port, GET + expecting, b"a", pause_s=0.4)
    first, interim, second = received.split(b"HTTP/1.1 ")[1:]
    assert first.endswith(b"2\r\nhe\r\n2\r\nre\r\n0\r\n\r\n")
    assert interim.startswith(b"100 ")
    assert second.startswith(b"200 ")
