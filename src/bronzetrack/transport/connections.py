"""Connections to endpoints and to the store.

httpcore is not used here: it gives no sign of bytes that follow an answer,
and took 325 us of processor time for each relayed chunk together with
uvicorn.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from typing import Any
from typing import Protocol

import attrs
import httptools

from bronzetrack.platform import names
from bronzetrack.transport import heads

CONNECT_TIMEOUT_S = 0.4
# Unacknowledged bytes end a connection after this time, also where the other
# side fell silent for good.
USER_TIMEOUT_MS = 1_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# An idle connection is not used again in this time before the other side
# would close it.
IDLE_MARGIN_S = 0.6
# Longest idle time where the other side states none.
DEFAULT_IDLE_S = 1.5


class End(enum.Enum):
    """How an answer ended."""

    COMPLETE = "complete"
    CUT = "cut"
    MALFORMED = "malformed"


class Receiver(Protocol):
    """Takes the parts of one answer as they arrive."""

    def on_head(self, head: heads.AnswerHead) -> None:
        """Take the head."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self, end: End) -> None:
        """Take the end; nothing follows."""


class Connection(asyncio.Protocol):
    """One connection, on which one request is in progress at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.receiver: Receiver | None = None
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.closed = False
        self.reusable = True
        self._parser = httptools.HttpResponseParser(self)
        self._headers: heads.Headers = []
        self._request_id = b""
        self._no_body = False
        self._framed = False
        self._skipped = False
        self._in_answer = False
        self._eof = False

    # Transport.

    def connection_made(self, transport: Any) -> None:
        """Set the options that detect a silent peer."""
        self.transport = transport
        raw = transport.get_extra_info("socket")
        if raw is None:
            return
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        )
        for option in options:
            with contextlib.suppress(OSError):
                raw.setsockopt(*option)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; any outside an answer make the connection useless."""
        if self.receiver is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._finish(End.MALFORMED)
        except httptools.HttpParserError:
            self._finish(End.MALFORMED)

    def eof_received(self) -> bool:
        """Note that the peer closed in an orderly way."""
        self._eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer in progress."""
        self.closed = True
        clean = self._eof and exc is None
        whole = self._in_answer and not self._framed and clean
        if self.receiver is not None and not self._skipped:
            self._finish(End.COMPLETE if whole else End.CUT)
        elif self.receiver is not None:
            self._finish(End.CUT)

    # Requests.

    def send(
        self, data: bytes, receiver: Receiver, request_id: bytes, head: bool
    ) -> None:
        """Send a request.

        :param request_id: id that the answer echoes, to tell it from a late
            answer to an earlier request
        :param head: the answer has no body
        """
        self.receiver = receiver
        self._request_id = request_id
        self._no_body = head
        self._in_answer = False
        self.transport.write(data)

    def abort(self) -> None:
        """Close at once; the peer drops the request in progress."""
        self.receiver = None
        self.reusable = False
        if not self.closed and self.transport is not None:
            self.closed = True
            self.transport.abort()

    def is_reusable(self, now: float) -> bool:
        """Return whether another request may be sent."""
        return (
            self.reusable
            and not self.closed
            and not self._eof
            and not self.transport.is_closing()
            and now - self.idle_since < self.idle_limit_s
        )

    def pause(self) -> None:
        """Read no more until `resume`."""
        if not self.closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if not self.closed and not self.transport.is_closing():
            self.transport.resume_reading()

    # Parser.

    def on_message_begin(self) -> None:
        """Start an answer; a second one makes the connection useless."""
        self._headers = []
        self._framed = False
        if self.receiver is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Deliver the head, unless it belongs to another request."""
        if self.receiver is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        found = {name.lower(): value for name, value in self._headers}
        echoed = found.get(names.REQUEST_ID)
        self._skipped = (
            bool(self._request_id)
            and echoed is not None
            and echoed != self._request_id
        )
        if self._skipped:
            self.reusable = False
            return
        self._framed = (
            b"content-length" in found or b"transfer-encoding" in found
        ) or status in (204, 304)
        self._in_answer = True
        self._note_keep_alive(found)
        self.receiver.on_head(
            heads.AnswerHead(status, self._headers, self._framed)
        )
        if self._no_body and self.receiver is not None:
            self.reusable = False
            self._finish(End.COMPLETE)

    def _note_keep_alive(self, found: dict[bytes, bytes]) -> None:
        if b"close" in found.get(b"connection", b"").lower():
            self.reusable = False
        for item in found.get(b"keep-alive", b"").split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit_s = max(0.0, int(value) - IDLE_MARGIN_S)

    def on_body(self, data: bytes) -> None:
        """Deliver a part of the body."""
        if self.receiver is not None and not self._skipped:
            self.receiver.on_data(data)

    def on_message_complete(self) -> None:
        """End the answer, unless it was interim or another request's."""
        if self.receiver is None or self._parser.get_status_code() < 200:
            return
        if self._skipped:
            self._skipped = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        if self.transport.get_write_buffer_size():
            # The rest of the request is still due on this connection.
            self.reusable = False
        self._finish(End.COMPLETE)

    def _finish(self, end: End) -> None:
        receiver, self.receiver = self.receiver, None
        if end is not End.COMPLETE:
            self.abort()
        if receiver is not None:
            receiver.on_end(end)


@attrs.define(eq=False)
class Pool:
    """Connections to one address that wait for the next request."""

    address: str
    idle: list[Connection] = attrs.field(factory=list)

    def take_idle(self, now: float) -> Connection | None:
        """Return a connection that may be used again, the newest first."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.abort()
        return None

    def put_back(self, connection: Connection, now: float) -> None:
        """Keep a connection whose answer is complete."""
        connection.idle_since = now
        if connection.is_reusable(now) and connection.receiver is None:
            self.idle.append(connection)
        else:
            connection.abort()

    def drop(self, connection: Connection) -> None:
        """Close a connection that is in use."""
        connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    async def connect(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Connection | None:
        """Return a new connection, or nothing if none can be had."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except (OSError, TimeoutError):
            return None
        return connection
