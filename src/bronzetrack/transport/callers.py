"""Server side of the HTTP/1.1 connections of callers."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import select
import socket
import struct
from typing import Any
from typing import Protocol

from bronzetrack.transport import account as accounts
from bronzetrack.transport import charges
from bronzetrack.transport import exchanges
from bronzetrack.transport import heads
from bronzetrack.transport import liveness
from bronzetrack.transport import pipeline
from bronzetrack.transport import requestparser
from bronzetrack.transport import sockets
from bronzetrack.transport import yielding

# Time for a caller to read a refusal and to cease to send.
MAX_DISCARD_S = 1.0
# Bytes that are kept unparsed until the requests before them have ended.
# Beyond that the connection is not read.
MAX_UNPARSED_BYTES = 16 * 1024
# Bytes that are parsed at a time. A head of the shortest lines takes 40 times
# as much memory.
PARSED_BYTES = 16 * 1024
# A caller that acknowledges nothing for this time is gone.
GONE_S = 5.0
# Socket option value that makes a close reset the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class Reading(enum.Enum):
    """What a caller does with what was written to it."""

    SOUND = "sound"
    NOTHING = "nothing"
    GONE = "gone"


class Listener(requestparser.Bounds, pipeline.Service, Protocol):
    """What a connection needs of the listener that accepted it.

    :ivar closing: whether each connection is closed after its next response
    :ivar connections: all open connections
    :ivar resting: connections that may give way to new ones
    :ivar by_address: number of connections by IP address of the caller
    :ivar read_buffer: buffer into which all connections are read
    """

    closing: bool
    connections: set[CallerConnection]
    resting: yielding.RestingConnections[CallerConnection]
    by_address: collections.Counter[str]
    read_buffer: bytearray

    def admit_connection(self, address: str) -> bool:
        """Make room for a new connection, and return whether there is."""

    def relieve(self, now: float) -> None:
        """Let callers give way if others wait or the account is full."""


class CallerConnection(asyncio.BufferedProtocol):
    """Server side of a caller's connection.

    Pipelined requests are served one after the other.
    """

    def __init__(self, listener: Listener) -> None:
        self.caller = ""
        self.is_closed = False
        self.is_writable = True
        self.is_used = False
        self.idle_since = 0.0
        self._listener = listener
        self._account = listener.account
        self._transport: Any = None
        self._parser = requestparser.RequestParser(self, listener)
        self._pipeline = pipeline.Pipeline(self, listener)
        self._charges = charges.Charges(listener.account, self)
        self._has_large_body = False
        self._is_waiting = False
        self._unparsed = bytearray()
        self._is_paused = False
        self._paused_at = 0.0
        self._refused_at: float | None = None
        # When the first of the bytes was written that the caller has not
        # acknowledged, as far as it is known.
        self._unconfirmed_since: float | None = None
        self._acknowledged_bytes = 0
        self._read_at = 0.0
        self._discarded_bytes = 0

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        """Register the connection and set its socket options."""
        self._transport = transport
        self.idle_since = self._listener.read_clock()
        self._account.connections += 1
        self.caller = (transport.get_extra_info("peername") or ("",))[0]
        is_admitted = self._listener.admit_connection(self.caller)
        self._listener.connections.add(self)
        self._listener.by_address[self.caller] += 1
        if not is_admitted:
            self.reject(
                503, "too many connections", accounts.Reason.CONNECTIONS
            )
            return
        self._update_rest()
        tcp_socket = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into."""
        return self._listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read."""
        self.data_received(memoryview(self._listener.read_buffer)[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse requests and reject those that exceed the limits."""
        if self._parser.is_closed:
            self._discard(len(data))
            return
        self._receive(data)
        self._update_rest()

    def _receive(self, data: bytes | memoryview) -> None:
        if self._unparsed or self._must_wait():
            self._keep_unparsed(data)
        else:
            self._parse(data)
        if (
            self._parser.exchange is not None
            or self._unparsed
            or self._charges.has_input
        ):
            self._settle()
            if self._account.is_full:
                self._listener.relieve(self._listener.read_clock())

    def _must_wait(self) -> bool:
        """Return whether further bytes are not parsed yet.

        Parsed heads can take 40 times the memory of their bytes. A body with
        a reservation is read to its end.
        """
        if self._has_large_body:
            return self._is_waiting
        if self._pipeline.is_empty:
            return False
        return self._pipeline.is_full or self._account.is_tight

    def _keep_unparsed(self, data: bytes | memoryview) -> None:
        """Keep bytes for later; stop reading if they are too many."""
        self._unparsed += data
        self._pause_reading(len(self._unparsed) > MAX_UNPARSED_BYTES)

    def _pause_reading(self, is_paused: bool) -> None:
        """Stop reading the connection, or read it again."""
        if is_paused == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self._paused_at = self._listener.read_clock()
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes until a request has to wait."""
        for offset in range(0, len(data), PARSED_BYTES):
            if offset and self._must_wait():
                self._keep_unparsed(data[offset:])
                return
            if len(data) > PARSED_BYTES:
                self._parse_part(data[offset : offset + PARSED_BYTES])
            else:
                self._parse_part(data)
            if self._parser.is_closed:
                return

    def _parse_part(self, data: bytes | memoryview) -> None:
        self._parser.feed(data)
        if self._pipeline.is_overfull:
            self.reject(400, "too many requests in a row")

    def continue_reading(self) -> None:
        """Parse what was kept, and read on if nothing has to wait."""
        if self.is_closed or self._parser.is_closed:
            return
        if self._is_waiting:
            self._ask_for_body(self._listener.read_clock())
            if self._is_waiting:
                return
        if self._must_wait():
            return
        unparsed, self._unparsed = self._unparsed, bytearray()
        self._parse(unparsed)
        self._settle()
        if not self._parser.is_closed:
            self._pause_reading(len(self._unparsed) > MAX_UNPARSED_BYTES)

    def _ask_for_body(self, now: float) -> None:
        """Ask for memory to read a large body."""
        self._has_large_body = True
        if self in self._account.granted:
            is_granted = True
        elif self in self._account.waiting:
            is_granted = False
        else:
            limit = self._listener.limits.body_bytes
            size = min(self._parser.stated_length or limit, limit)
            is_granted = self._account.ask(self, size, now)
        self._is_waiting = not is_granted
        if not is_granted:
            self._pause_reading(True)
            return
        self._parser.body_started_at = now
        self._send_continue()

    def _send_continue(self) -> None:
        """Tell a caller that waits for it to send the body.

        Nothing is sent between the parts of an earlier response.
        """
        if (
            self._parser.expects_continue
            and not self._is_waiting
            and self._pipeline.is_empty
        ):
            self._parser.expects_continue = False
            self.write(heads.encode_head(100, []))

    # Memory.

    def _settle(self) -> None:
        """Bring what the connection occupies for its input up to date."""
        now = self._listener.read_clock()
        head_bytes = 0
        body_bytes = len(self._unparsed)
        is_reading = not self._parser.is_closed and self.is_reading()
        if is_reading:
            head_bytes = self._parser.head_cost
        large = self._account.granted.get(self)
        if large is not None:
            large.received = self._parser.body_size
            large.progressed_at = now
        elif is_reading:
            body_bytes += self._parser.buffered_bytes
        self._charges.set_input(head_bytes, body_bytes, is_reading, now)

    def _release_input(self) -> None:
        """Drop what was read of an incomplete request."""
        self._parser.discard()
        self._unparsed = bytearray()
        self._is_waiting = False
        self._end_large_body()
        self._settle()

    def _end_large_body(self) -> None:
        if self._has_large_body:
            self._has_large_body = False
            self._account.end_body(self)
            self._listener.grant_waiting(self._listener.read_clock())

    def _settle_answers(self) -> None:
        """Bring what the caller does not read up to date."""
        size = 0
        if not self.is_writable and not self.is_closed:
            size = self._transport.get_write_buffer_size()
        self._charges.set_answers(size, self._listener.read_clock())

    def give_way(self, status: int, reason: accounts.Reason) -> None:
        """Refuse the incomplete request, or close the connection.

        :param status: status of the refusal
        """
        if reason is accounts.Reason.IDLE:
            self._account.ended[reason] += 1
            self._listener.connections.discard(self)
            self._listener.resting.discard(self)
            self._close_for_another(status)
        elif reason is accounts.Reason.UNREAD:
            self._account.ended[reason] += 1
            self.abort(reset=True)
        elif not self._parser.is_closed:
            self.reject(status, "no memory for the request", reason)

    def _close_for_another(self, status: int) -> None:
        """Close the connection at once; refuse an incomplete request."""
        if not self._parser.is_begun or self._parser.is_closed:
            self._transport.abort()
            return
        self._parser.is_closed = True
        self._release_input()
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.write(heads.encode_head(status, headers))
        self._transport.close()

    def may_give_way(self) -> bool:
        """Return whether no answer is lost if the connection is closed."""
        if self.has_unsent():
            return False
        if self._unconfirmed_since is None:
            return True
        state = liveness.read_state(self._transport.get_extra_info("socket"))
        return state is None or not state.queued_bytes

    def _update_rest(self) -> None:
        """Note whether the connection may give way to a new one."""
        resting = self._listener.resting
        if (
            self._pipeline.is_empty
            and not self._has_large_body
            and self in self._listener.connections
        ):
            stage = yielding.Stage.SILENT
            if self.is_used:
                stage = yielding.Stage.USED
            elif self._parser.is_begun:
                stage = yielding.Stage.PARTIAL
            resting.add(self, self.caller, stage, self._listener.read_clock())
        else:
            resting.discard(self)

    def eof_received(self) -> bool:
        """Close the connection also when the caller half-closes it."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self.is_closed = True
        self._account.connections -= 1
        self._listener.connections.discard(self)
        self._listener.resting.discard(self)
        self._listener.by_address[self.caller] -= 1
        if not self._listener.by_address[self.caller]:
            del self._listener.by_address[self.caller]
        self._pipeline.cancel()
        self._release_input()
        self._settle_answers()

    def pause_writing(self) -> None:
        """Make the sender of the current response pause."""
        self._change_writable(False)

    def resume_writing(self) -> None:
        """Make the sender of the current response continue."""
        self._change_writable(True)

    def _change_writable(self, writable: bool) -> None:
        self.is_writable = writable
        self._settle_answers()
        self._pipeline.change_writable(writable)

    # Calls of the parser.

    def begin_body(self, now: float) -> None:
        """Read the body of a request whose head is accepted."""
        if self._parser.stated_length > accounts.SMALL_BODY_BYTES:
            self._ask_for_body(now)
        else:
            self._send_continue()

    def continue_large_body(self) -> None:
        """Ask for memory for a body that turns out to be large."""
        if not self._has_large_body:
            self._ask_for_body(self._listener.read_clock())

    def accept(self, exchange: exchanges.Exchange) -> None:
        """Serve a request that has arrived after those before it."""
        self._account.change(accounts.Holder.REQUESTS, exchange.cost)
        if self._is_waiting:
            # The end of the body arrived with the part that had it wait.
            self._is_waiting = False
            self._pause_reading(False)
        self._end_large_body()
        self.is_used = True
        self._pipeline.add(exchange)

    # Requests.

    def end_exchange(self, keep_open: bool) -> None:
        """Serve the next request, or close the connection.

        :param keep_open: whether the connection stays open
        """
        self._pipeline.end_current()
        self.idle_since = self._listener.read_clock()
        if not keep_open:
            self._parser.is_closed = True
            self._transport.close()
            return
        if self._pipeline.queued:
            self._pipeline.serve_next()
        elif self.is_reading():
            self._send_continue()
        if self._unparsed or self._is_waiting:
            asyncio.get_running_loop().call_soon(self.continue_reading)
        self._update_rest()

    def can_keep_open(self, exchange: exchanges.Exchange) -> bool:
        """Return whether the connection may stay open after a response.

        It does while requests wait behind another, also if the listener
        closes its connections or no further requests are read.
        """
        is_closing = self._parser.is_closed or self._listener.closing
        return exchange.head.keep_alive and (
            not is_closing or bool(self._pipeline.queued)
        )

    def is_busy(self) -> bool:
        """Return whether a request is in progress."""
        return self._pipeline.current is not None or self.is_reading()

    def is_reading(self) -> bool:
        """Return whether a request is incomplete."""
        return self._parser.exchange is not None

    def has_unsent(self) -> bool:
        """Return whether bytes of a response still wait to be sent."""
        return self._transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.is_busy() and self._parser.head_started_at is None:
            self._transport.close()

    def close_if_expired(self, now: float) -> None:
        """Close the connection if its caller left or exceeds a timeout."""
        limits = self._listener.limits
        reading = self._find_reading(now)
        if reading is Reading.GONE:
            self.abort()
        elif reading is Reading.NOTHING:
            self.give_way(0, accounts.Reason.UNREAD)
        elif self._refused_at is not None:
            if now - self._refused_at > MAX_DISCARD_S:
                self._transport.close()
        elif self._is_paused and self._has_hung_up():
            self.abort()
        elif (
            self._is_paused
            and not self._is_waiting
            and now - self._paused_at > limits.header_timeout_s
        ):
            # The end of the connection may be behind what is not read. The
            # rest is discarded from now on, so that it is noticed.
            self.reject(
                503, "too many requests in a row", accounts.Reason.WAITED
            )
        elif self._parser.is_head_late(now):
            self.reject(
                408, "the head came too slowly", accounts.Reason.TIMEOUT
            )
        elif not self._is_waiting and self._parser.is_body_late(now):
            self.reject(
                408, "the body came too slowly", accounts.Reason.TIMEOUT
            )
        elif (
            not self.is_busy()
            and now - self.idle_since > limits.idle_timeout_s
        ):
            self._transport.close()

    def _find_reading(self, now: float) -> Reading:
        """Return what the caller does with what was written to it."""
        if self._unconfirmed_since is None or self.is_closed:
            return Reading.SOUND
        tcp_socket = self._transport.get_extra_info("socket")
        state = liveness.read_state(tcp_socket)
        if state is None:
            return Reading.SOUND
        if not state.queued_bytes and not self.has_unsent():
            self._unconfirmed_since = None
            return Reading.SOUND
        if state.acknowledged_bytes != self._acknowledged_bytes:
            self._acknowledged_bytes = state.acknowledged_bytes
            self._read_at = now
        if state.is_gone(now - self._unconfirmed_since, GONE_S):
            return Reading.GONE
        read_at = max(self._read_at, self._unconfirmed_since)
        if now - read_at > self._listener.limits.idle_timeout_s:
            return Reading.NOTHING
        return Reading.SOUND

    def _has_hung_up(self) -> bool:
        """Return whether the caller left, which a paused transport hides."""
        tcp_socket = self._transport.get_extra_info("socket")
        return sockets.has_event(tcp_socket, select.POLLRDHUP)

    def reject(
        self,
        status: int,
        detail: str,
        reason: accounts.Reason = accounts.Reason.MALFORMED,
    ) -> None:
        """Stop reading requests; send an error and close the connection.

        While another request is in progress, no error is sent, and the
        connection is closed after the response to that request.
        """
        if self._parser.is_closed:
            return
        self._parser.is_closed = True
        self._account.ended[reason] += 1
        self._release_input()
        if self._pipeline.is_empty:
            body = detail.encode()
            headers = [
                (b"Content-Length", b"%d" % len(body)),
                (b"Connection", b"close"),
            ]
            self.write(heads.encode_head(status, headers) + body)
            self._close_after_refusal(reason)
        else:
            self._pause_reading(False)

    def _close_after_refusal(self, reason: accounts.Reason) -> None:
        """Close the connection once the caller could read the refusal.

        A close with unread input resets the connection, and the caller may
        lose the refusal. What it still sends is discarded for a short time.
        """
        if reason is accounts.Reason.CONNECTIONS or self.is_closed:
            self._transport.close()
        elif not self._transport.is_closing():
            self._refused_at = self._listener.read_clock()
            try:
                self._transport.write_eof()
            except OSError:
                # The caller left and its reset is not yet noticed.
                self._transport.abort()
                return
            self._pause_reading(False)

    def _discard(self, size: int) -> None:
        """Discard input; close the connection if it has no end."""
        self._discarded_bytes += size
        if (
            self._refused_at is not None
            and self._discarded_bytes > self._listener.limits.body_bytes
        ):
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed or closing."""
        if not self.is_closed and not self._transport.is_closing():
            self._transport.write(data)
            if self._unconfirmed_since is None:
                self._unconfirmed_since = self._listener.read_clock()
            if not self.is_writable:
                self._settle_answers()

    def abort(self, reset: bool = False) -> None:
        """Abort the connection without sending buffered bytes.

        :param reset: whether the caller sees a reset in any case
        """
        self._parser.is_closed = True
        if self.is_closed:
            return
        if reset:
            tcp_socket = self._transport.get_extra_info("socket")
            tcp_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
        self._transport.abort()
