"""Client connections to endpoints and to the store.

httpcore is not used here: it does not report bytes that follow a response,
and together with uvicorn it took 325 us of processor time for each relayed
chunk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import contextlib
import enum
import select
import socket
from typing import Any
from typing import Protocol

import attrs
import httptools

from bronzetrack.platform import names
from bronzetrack.transport import errors
from bronzetrack.transport import framing
from bronzetrack.transport import heads
from bronzetrack.transport import limits
from bronzetrack.transport import liveness
from bronzetrack.transport import sockets

CONNECT_TIMEOUT_S = 0.4
# A peer that acknowledges no bytes of a request for this time is gone. It is
# checked at the interval.
GONE_S = 1.5
CHECK_INTERVAL_S = 0.5
# Without bytes on their way, a peer that does not answer a probe of the kernel
# is gone.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1
# An idle connection is not reused within this time before the peer's stated
# idle timeout.
IDLE_MARGIN_S = 0.6
# Memory that a header takes beside its name and value.
HEADER_BYTES = 128
# What a response counts that is not the awaited one, beside its bytes. It
# takes processor time, however short it is.
UNAWAITED_BYTES = 1_024
# Longest idle time of a connection whose peer states no idle timeout.
DEFAULT_IDLE_S = 1.5


class ResponseEnd(enum.Enum):
    """How a response ended.

    OVERSIZED means that it exceeded a limit and was not read to its end.
    """

    COMPLETE = "complete"
    TRUNCATED = "cut"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class Receiver(Protocol):
    """Callbacks for the parts of one response as they arrive."""

    def on_head(self, head: heads.ResponseHead) -> None:
        """Receive the status line and headers."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self, end: ResponseEnd) -> None:
        """Receive the end of the response; no callback follows."""


@attrs.frozen
class PastExchange:
    """Request and response of a connection that is used again.

    :param target: path and query of the request
    """

    target: str
    status: int


class Connection(asyncio.Protocol):
    """Client connection with at most one request in progress."""

    def __init__(
        self, response_limits: limits.ResponseLimits = limits.DEFAULT
    ) -> None:
        self.transport: Any = None
        self.receiver: Receiver | None = None
        self.idle_since = 0.0
        self.max_idle_s = DEFAULT_IDLE_S
        self.closed = False
        self.reusable = True
        self.past: PastExchange | None = None
        self._limits = response_limits
        self._parser = httptools.HttpResponseParser(self)
        self._headers: heads.Headers = []
        self._reason = b""
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._requests = 0
        self._request_id = b""
        self._expects_no_body = False
        self._framed = False
        self._is_stale = False
        self._in_response = False
        self._peer_closed = False
        self._is_paused = False
        self._watch: liveness.PeerWatch | None = None

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        """Set the socket options that detect an unreachable peer."""
        self.transport = transport
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is None:
            return
        self._watch = liveness.PeerWatch(
            transport, self._end_lost, GONE_S, CHECK_INTERVAL_S
        )
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        )
        for option in options:
            with contextlib.suppress(OSError):
                tcp_socket.setsockopt(*option)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; abort the connection if no response is expected."""
        if self.receiver is None:
            self.abort()
            return
        self._overhead_bytes += len(data)
        end: ResponseEnd | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            end = ResponseEnd.MALFORMED
        if self._exceeds_limits():
            end = ResponseEnd.OVERSIZED
        if end is not None and self.receiver is not None:
            self._finish(end)

    def _exceeds_limits(self) -> bool:
        """Return whether a head or bytes outside the body are too long."""
        return (
            self._head_bytes > self._limits.head_bytes
            or self._overhead_bytes > self._limits.overhead_bytes
        )

    def eof_received(self) -> bool:
        """Record that the peer closed the connection in an orderly way."""
        self._peer_closed = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response in progress.

        A response without a length or chunks is complete when the peer closes
        the connection in an orderly way. Any other response ends with
        TRUNCATED.
        """
        self.closed = True
        closed_cleanly = self._peer_closed and exc is None
        is_complete = self._in_response and not self._framed and closed_cleanly
        if self.receiver is not None and not self._is_stale:
            self._finish(
                ResponseEnd.COMPLETE if is_complete else ResponseEnd.TRUNCATED
            )
        elif self.receiver is not None:
            self._finish(ResponseEnd.TRUNCATED)

    # Requests.

    def send(
        self, data: bytes, receiver: Receiver, request_id: bytes, is_head: bool
    ) -> None:
        """Send a request.

        :param data: the encoded request
        :param receiver: callbacks for the response
        :param request_id: id that the response echoes, which distinguishes it
            from a late response to an earlier request
        :param is_head: whether the method is HEAD, so that the response has
            no body
        """
        self.receiver = receiver
        self._request_id = request_id
        self._expects_no_body = is_head
        self._in_response = False
        self._overhead_bytes = 0
        self._requests += 1
        self.transport.write(data)
        if self._watch is not None:
            self._watch.begin()

    def _end_lost(self) -> None:
        """End the response, as the peer is gone."""
        if self.receiver is not None:
            self._finish(ResponseEnd.TRUNCATED)

    def _end_watch(self) -> None:
        if self._watch is not None:
            self._watch.end()

    def abort(self) -> None:
        """Close at once, so that the peer drops the request in progress."""
        self.receiver = None
        self.reusable = False
        self._end_watch()
        if not self.closed and self.transport is not None:
            self.closed = True
            self.transport.abort()

    def is_reusable(self, now: float) -> bool:
        """Return whether another request may be sent on the connection."""
        return (
            self.reusable
            and not self.closed
            and not self._peer_closed
            and not self._is_paused
            and self.receiver is None
            and not self.transport.is_closing()
            and now - self.idle_since < self.max_idle_s
        )

    def has_unread_bytes(self) -> bool:
        """Return whether bytes wait in the socket, or the peer has closed.

        They belong to no request. The event loop has not read them yet.
        """
        tcp_socket = self.transport.get_extra_info("socket")
        return tcp_socket is not None and sockets.has_event(
            tcp_socket, select.POLLIN
        )

    def pause(self, receiver: Receiver) -> None:
        """Stop reading until `resume` is called or the response ends.

        :param receiver: receiver that wants the pause; it is ignored unless
            the response in progress is its own
        """
        if self.receiver is receiver and not self._is_ending():
            self._is_paused = True
            self.transport.pause_reading()

    def resume(self, receiver: Receiver) -> None:
        """Continue reading after a `pause` of the same receiver."""
        if self.receiver is receiver:
            self._read_again()

    def _read_again(self) -> None:
        if self._is_paused and not self._is_ending():
            self.transport.resume_reading()
        self._is_paused = False

    def _is_ending(self) -> bool:
        return self.closed or self.transport.is_closing()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; an unexpected one prevents reuse."""
        self._headers = []
        self._reason = b""
        self._head_bytes = 0
        self._framed = False
        if self.receiver is None:
            self.reusable = False

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += reason
        self._head_bytes += len(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the response; trailers are dropped.

        :raises errors.OversizedError: the head exceeds its limit, which ends
            the parsing of what has arrived
        """
        self._head_bytes += len(name) + len(value) + HEADER_BYTES
        if self._head_bytes > self._limits.head_bytes:
            raise errors.OversizedError("the head of a response is too long")
        if not self._in_response:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Deliver the status line and headers to the receiver.

        Interim responses, and those to an earlier request, are not delivered.

        :raises errors.OversizedError: there were too many of these in a row
        """
        status = self._parser.get_status_code()
        if self.receiver is None:
            return
        headers = [(name.lower(), value) for name, value in self._headers]
        if framing.is_broken(status, self._reason, headers):
            self._finish(ResponseEnd.MALFORMED)
            return
        if status in framing.INTERIM_STATUSES:
            self._count_unawaited()
            return
        headers_by_name = dict(headers)
        echoed_id = headers_by_name.get(names.REQUEST_ID)
        self._is_stale = (
            bool(self._request_id)
            and echoed_id is not None
            and echoed_id != self._request_id
        )
        if self._is_stale:
            self.reusable = False
            self._count_unawaited()
            return
        if self._request_id and echoed_id is None:
            # Nothing shows which request of the connection it belongs to.
            self.reusable = False
            if self._requests > 1:
                self._finish(ResponseEnd.MALFORMED)
                return
        self._framed = (
            b"content-length" in headers_by_name
            or b"transfer-encoding" in headers_by_name
        ) or status in (204, 304)
        self._in_response = True
        self._overhead_bytes = 0
        self._apply_keep_alive(headers_by_name)
        self.receiver.on_head(
            heads.ResponseHead(status, self._headers, self._framed)
        )
        if self._expects_no_body and self.receiver is not None:
            self.reusable = False
            self._finish(ResponseEnd.COMPLETE)

    def _count_unawaited(self) -> None:
        """Count a response that is interim or to an earlier request.

        :raises errors.OversizedError: there were too many in a row, which
            ends the parsing of what has arrived
        """
        self._overhead_bytes += UNAWAITED_BYTES
        if self._overhead_bytes > self._limits.overhead_bytes:
            raise errors.OversizedError("too many responses in a row")

    def _apply_keep_alive(self, headers_by_name: dict[bytes, bytes]) -> None:
        if b"close" in headers_by_name.get(b"connection", b"").lower():
            self.reusable = False
        for item in headers_by_name.get(b"keep-alive", b"").split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.max_idle_s = max(0.0, int(value) - IDLE_MARGIN_S)

    def on_body(self, data: bytes) -> None:
        """Deliver a part of the body to the receiver."""
        if self.receiver is not None and not self._is_stale:
            self._overhead_bytes = 0
            self.receiver.on_data(data)

    def on_message_complete(self) -> None:
        """End the response, unless it is interim or to an earlier request."""
        status = self._parser.get_status_code()
        if self.receiver is None or status in framing.INTERIM_STATUSES:
            return
        if self._is_stale:
            self._is_stale = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        if self.transport.get_write_buffer_size():
            # Part of the request is still to be sent on this connection.
            self.reusable = False
        self._finish(ResponseEnd.COMPLETE)

    def _finish(self, end: ResponseEnd) -> None:
        receiver, self.receiver = self.receiver, None
        self._in_response = False
        self._end_watch()
        self._read_again()
        if end is not ResponseEnd.COMPLETE:
            self.abort()
        if receiver is not None:
            receiver.on_end(end)


@attrs.define(eq=False)
class Pool:
    """Pool of idle connections to one address."""

    address: str
    response_limits: limits.ResponseLimits = limits.DEFAULT
    idle: list[Connection] = attrs.field(factory=list)

    def take_idle(
        self, now: float, excluded: Sequence[Connection] = ()
    ) -> Connection | None:
        """Return the last reusable connection that was put back, if any.

        Connections that cannot be reused are closed.

        :param excluded: connections that the request was sent on before. A
            response to it that the endpoint repeats there would have the id
            of the request.
        """
        skipped = []
        found = None
        while self.idle and found is None:
            connection = self.idle.pop()
            if not connection.is_reusable(now):
                connection.abort()
            elif connection in excluded:
                skipped.append(connection)
            elif connection.has_unread_bytes():
                connection.abort()
            else:
                found = connection
        self.idle.extend(reversed(skipped))
        return found

    def put_back(self, connection: Connection, now: float) -> None:
        """Return a connection to the pool after a complete response.

        The connection is closed if it cannot be reused.
        """
        connection.idle_since = now
        if connection.is_reusable(now):
            self.idle.append(connection)
        else:
            connection.abort()

    def discard(self, connection: Connection) -> None:
        """Close a connection that was taken from the pool."""
        connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    async def connect(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Connection | None:
        """Open a connection, or return None on an error or a timeout.

        :param timeout_s: longest time to connect, in seconds
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self.response_limits), host, int(port)
                )
        except (OSError, TimeoutError, UnicodeError):
            # UnicodeError: the host cannot be encoded as a host name.
            return None
        return connection
