"""Connections from callers.

uvicorn is not used here: it has no bound on the time of a head, and took most
of the 325 us of processor time for each relayed chunk together with httpcore.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging
import socket
from typing import Any

import attrs
import httptools

from bronzetrack.core import logevents
from bronzetrack.entry import routes
from bronzetrack.transport import heads

LOG = logging.getLogger(__name__)
# Requests that a caller may send before the answer to the first.
PIPELINE_REQUESTS = 8
BACKLOG = 512
USER_TIMEOUT_MS = 5_000


@attrs.define(eq=False)
class Listener:
    """Connections of one listening address.

    :param serve: handles one request
    :param bounds: what callers may send; replaced with the configuration
    :param closing: answers end their connections
    :param stopped: no new connections are taken
    """

    serve: Callable[[Exchange], Awaitable[None]]
    read_clock: Callable[[], float]
    bounds: routes.Limits = attrs.field(factory=routes.Limits)
    closing: bool = False
    stopped: bool = False
    connections: set[CallerConnection] = attrs.field(factory=set)
    server: Any = None

    async def open(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=BACKLOG
        )

    def stop_listening(self) -> None:
        """Take no new connections, and close those that are idle."""
        if self.server is not None:
            self.server.close()
        self.closing = True
        self.stopped = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_busy(self) -> int:
        """Return the connections with a request in progress."""
        return sum(1 for item in self.connections if item.is_busy())

    def expire(self, now: float) -> None:
        """Close connections that are idle or slow for too long."""
        for connection in list(self.connections):
            connection.expire(now)


class Exchange:
    """One request of a caller, and the way to answer it."""

    def __init__(self, connection: CallerConnection, head: heads.Head) -> None:
        self.head = head
        self.body = b""
        self.arrived = 0.0
        self.started = False
        self.finished = False
        self.on_drain: Callable[[bool], None] | None = None
        self._chunked = False
        self._connection = connection

    def respond(
        self, status: int, headers: heads.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        keep = self._connection.may_continue(self)
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if not keep:
            headers.append((b"Connection", b"close"))
        data = heads.encode_head(status, headers)
        if self.head.method != b"HEAD":
            data += body
        self.started = True
        self._connection.write(data)
        self._finish(keep)

    def start(self, status: int, headers: heads.Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        self.started = True
        self._chunked = self.head.version == "1.1"
        headers = list(headers)
        if self._chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if not self._connection.may_continue(self) or not self._chunked:
            headers.append((b"Connection", b"close"))
        self._connection.write(heads.encode_head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def finish(self) -> None:
        """End an answer that was sent in parts."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish(self._chunked and self._connection.may_continue(self))

    def abort(self) -> None:
        """End the connection, so that the answer cannot look complete."""
        self.finished = True
        self._connection.abort()

    def _finish(self, keep: bool) -> None:
        self.finished = True
        self._connection.end_exchange(keep)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests are served one after the other."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: list[Exchange] = []
        self._current: Exchange | None = None
        self._reading: Exchange | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._head_bytes = 0
        self._head_since: float | None = None
        self._idle_since = 0.0
        self._task: asyncio.Task[None] | None = None
        self._refused = False
        self._closed = False

    # Transport.

    def connection_made(self, transport: Any) -> None:
        """Enter the connection."""
        self._transport = transport
        self._idle_since = self._listener.read_clock()
        self._listener.connections.add(self)
        raw = transport.get_extra_info("socket")
        for option in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        ):
            with contextlib.suppress(OSError):
                raw.setsockopt(*option)

    def data_received(self, data: bytes) -> None:
        """Parse requests."""
        if self._refused:
            return
        if self._reading is None and self._head_since is None:
            self._head_since = self._listener.read_clock()
        if self._head_since is not None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"not HTTP: {error}")
        if (
            self._head_since is not None
            and self._head_bytes > self._listener.bounds.header_bytes
        ):
            self._refuse(431, "the head is too long")
        if len(self._waiting) > PIPELINE_REQUESTS:
            self._refuse(400, "too many requests in a row")

    def eof_received(self) -> bool:
        """Treat an orderly close like any other."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._closed = True
        self._listener.connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        self._waiting.clear()

    def pause_writing(self) -> None:
        """Tell the sender of an answer to pause."""
        if self._current is not None and self._current.on_drain is not None:
            self._current.on_drain(False)

    def resume_writing(self) -> None:
        """Tell the sender of an answer to go on."""
        if self._current is not None and self._current.on_drain is not None:
            self._current.on_drain(True)

    # Parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading = Exchange(self, heads.Head())
        self._parts = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        if self._reading is not None:
            self._reading.head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if self._reading is not None:
            self._reading.head.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
        self._head_since = None
        self._head_bytes = 0
        if self._reading is None:
            return
        head = self._reading.head
        head.method = self._parser.get_method()
        head.version = self._parser.get_http_version()
        head.keep_alive = self._parser.should_keep_alive()
        fault = heads.find_fault(head)
        if fault is not None:
            self._refuse(400, fault)
            return
        length = head.find(b"content-length")
        if length and int(length) > self._listener.bounds.body_bytes:
            self._refuse(413, "the body is too long")
            return
        expected = head.find(b"expect")
        if expected and expected.lower() == b"100-continue":
            self.write(heads.encode_head(100, []))

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._refused:
            return
        self._size += len(data)
        if self._size > self._listener.bounds.body_bytes:
            self._refuse(413, "the body is too long")
            return
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Serve the request, after those before it."""
        exchange, self._reading = self._reading, None
        if exchange is None or self._refused:
            return
        exchange.body = b"".join(self._parts)
        exchange.arrived = self._listener.read_clock()
        self._parts = []
        self._waiting.append(exchange)
        self._serve_next()

    # Requests.

    def _serve_next(self) -> None:
        if self._current is not None or not self._waiting or self._closed:
            return
        self._current = self._waiting.pop(0)
        self._task = asyncio.get_running_loop().create_task(
            self._serve(self._current)
        )

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await self._listener.serve(exchange)
        except Exception as error:
            # The caller gets a closed connection, which promises nothing.
            logevents.log(LOG, logevents.RequestFailed(), error)
        if not exchange.finished:
            exchange.abort()

    def end_exchange(self, keep: bool) -> None:
        """Go on to the next request, or close."""
        self._current = None
        self._task = None
        self._idle_since = self._listener.read_clock()
        if not keep:
            self._refused = True
            self._transport.close()
            return
        if self._waiting:
            self._serve_next()

    def may_continue(self, exchange: Exchange) -> bool:
        """Return whether the connection stays open after an answer."""
        return (
            exchange.head.keep_alive
            and not self._listener.closing
            and not self._refused
        )

    def is_busy(self) -> bool:
        """Return whether a request is in progress."""
        return self._current is not None or self._reading is not None

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.is_busy() and self._head_since is None:
            self._transport.close()

    def expire(self, now: float) -> None:
        """Close the connection if it is idle or its head is late."""
        bounds = self._listener.bounds
        if (
            self._head_since is not None
            and now - self._head_since > bounds.header_timeout_s
        ):
            self._refuse(408, "the head came too slowly")
        elif (
            not self.is_busy()
            and now - self._idle_since > bounds.idle_timeout_s
        ):
            self._transport.close()

    def _refuse(self, status: int, detail: str) -> None:
        """Answer a request that cannot be read, and close."""
        if self._refused:
            return
        self._refused = True
        if self._current is None:
            body = detail.encode()
            headers = [
                (b"Content-Length", b"%d" % len(body)),
                (b"Connection", b"close"),
            ]
            self.write(heads.encode_head(status, headers) + body)
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is gone."""
        if not self._closed and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """End the connection at once."""
        self._refused = True
        if not self._closed:
            self._transport.abort()
