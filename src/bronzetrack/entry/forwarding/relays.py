"""Relay of an endpoint's answer to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import enum

from bronzetrack.entry.forwarding import events
from bronzetrack.entry.forwarding import requests
from bronzetrack.platform import names
from bronzetrack.transport import connections
from bronzetrack.transport import exchanges
from bronzetrack.transport import heads
from bronzetrack.transport import limits

# Status of an endpoint that is full.
FULL_STATUS = 503


class Outcome(enum.Enum):
    """Result of sending a request to one endpoint.

    REJECTED means that the endpoint stated that it has not run the request.
    UNIDENTIFIED is such a statement without the id of the request. It may
    belong to an earlier request, so that this one may have run. OVERSIZED is
    an answer that exceeded a limit.
    """

    DELIVERED = "delivered"
    ANSWERED = "answered"
    REJECTED = "rejected"
    LOST = "lost"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    UNIDENTIFIED = "unidentified"

    @property
    def breaks_connection(self) -> bool:
        """Whether the connection cannot be used any more."""
        return self not in (
            Outcome.DELIVERED,
            Outcome.ANSWERED,
            Outcome.REJECTED,
        )


def is_full(outcome: Outcome, status: int) -> bool:
    """Return whether an endpoint rejected a request as it is full."""
    return outcome is Outcome.REJECTED and status == FULL_STATUS


def select_headers(headers: heads.Headers) -> heads.Headers:
    """Return the headers of an answer without the hop-by-hop headers."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in names.HOP_BY_HOP
    ]


class Relay:
    """Receives an answer of an endpoint.

    Streamed data is forwarded to the caller at once. Other answers are
    collected until they are complete. If one is too large for that, what has
    arrived is forwarded like a stream, unless the answer is a failure, which
    is given up.

    :param buffer: splits a resumable stream into complete events, `None` for
        other answers
    :param on_leaving: called when the head of an answer says that the
        endpoint leaves
    :param response_limits: limits of an answer or event that is kept in
        memory
    """

    def __init__(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        connection: connections.Connection,
        buffer: events.EventBuffer | None,
        read_clock: Callable[[], float],
        on_leaving: Callable[[], None],
        response_limits: limits.ResponseLimits = limits.DEFAULT,
    ) -> None:
        self.done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.head: heads.ResponseHead | None = None
        self.first_byte_at: float | None = None
        self.first_data_at: float | None = None
        self.last_data_at: float | None = None
        self.event_count = 0
        # Called when an answer with status 200 begins.
        self.on_begin: Callable[[], None] | None = None
        self._exchange = exchange
        self._request = request
        self._connection = connection
        self._buffer = buffer
        self._read_clock = read_clock
        self._on_leaving = on_leaving
        self._collected = bytearray()
        self._collected_pieces = 0
        self._limits = response_limits
        self._is_stream = False
        self._is_forwarded = False
        self._tail = b""

    @property
    def body(self) -> bytes:
        """Body of an answer that was not streamed."""
        return bytes(self._collected)

    @property
    def status(self) -> int:
        """HTTP status of the answer, 0 if none was received."""
        return self.head.status if self.head else 0

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of a header of the answer, `None` if absent."""
        return self.head.find(name) if self.head else None

    def on_head(self, head: heads.ResponseHead) -> None:
        """Store the head and start the caller's answer if it is a stream."""
        self.head = head
        self.first_byte_at = self._read_clock()
        if head.find(names.LEAVING) == b"1":
            self._on_leaving()
        if head.status == 200 and self.on_begin is not None:
            self.on_begin()
        route = self._request.route
        self._is_stream = (
            head.status == 200
            and route is not None
            and route.streams
            and self._request.method != b"HEAD"
            and events.is_event_stream(head.find(b"content-type"))
        )
        if self._is_stream:
            self._start_forwarding(head)

    def _start_forwarding(self, head: heads.ResponseHead) -> None:
        self._is_forwarded = True
        self._exchange.watch_writable(self._control_flow)
        if not self._exchange.started:
            self._exchange.start(head.status, select_headers(head.headers))

    def _control_flow(self, writable: bool) -> None:
        if writable:
            self._connection.resume(self)
        else:
            self._connection.pause(self)

    def on_data(self, data: bytes) -> None:
        """Forward a part of a stream, or collect a part of another answer."""
        if self.done.done():
            return
        if self.first_data_at is None:
            self.first_data_at = self._read_clock()
        if not self._is_forwarded:
            self._collect(data)
            return
        if self._is_stream:
            data = self._split(data)
        if self._is_stream and data:
            self.last_data_at = self._read_clock()
            self.event_count += events.count_events(data)
        if data:
            self._exchange.write(data)

    def _split(self, data: bytes) -> bytes:
        """Return what is forwarded of a part of a stream.

        Of a stream that may be resumed, only complete events are.
        """
        if self._buffer is None:
            tail = self._tail + data[-events.LONGEST_END :]
            self._tail = tail[-events.LONGEST_END :]
            return data
        complete = self._buffer.feed(data)
        if len(self._buffer.rest) > self._limits.buffered_bytes:
            self._give_up()
        return complete

    def _collect(self, data: bytes) -> None:
        self._collected += data
        self._collected_pieces += 1
        if (
            len(self._collected) <= self._limits.buffered_bytes
            and self._collected_pieces <= self._limits.buffered_pieces
        ):
            return
        if self._exchange.started or not self._is_deliverable():
            self._give_up()
            return
        self._start_forwarding(self.head)
        self._exchange.write(self.body)
        self._collected.clear()

    def _is_deliverable(self) -> bool:
        """Return whether the caller gets the answer, whatever follows."""
        return self.status < 500 and not self._is_rejection()

    def _give_up(self) -> None:
        """End the answer, which exceeds a limit."""
        self._collected.clear()
        if self._buffer is not None:
            self._buffer.discard_rest()
        self.done.set_result(Outcome.OVERSIZED)
        self._connection.abort()

    def on_end(self, end: connections.ResponseEnd) -> None:
        """Set the outcome of the send."""
        if not self.done.done():
            self.done.set_result(self._classify_end(end))

    def _classify_end(self, end: connections.ResponseEnd) -> Outcome:
        if end is connections.ResponseEnd.MALFORMED:
            return Outcome.MALFORMED
        if end is connections.ResponseEnd.OVERSIZED:
            return Outcome.OVERSIZED
        if end is connections.ResponseEnd.TRUNCATED or self.head is None:
            return Outcome.LOST
        if self._is_stream:
            return Outcome.DELIVERED if self._is_whole() else Outcome.LOST
        if self._is_forwarded:
            return Outcome.DELIVERED
        if not self._is_rejection():
            return Outcome.ANSWERED
        echoed_id = self.head.find(names.REQUEST_ID)
        if echoed_id != self._request.request_id.encode("latin-1"):
            return Outcome.UNIDENTIFIED
        return Outcome.REJECTED

    def _is_rejection(self) -> bool:
        """Return whether the answer states that the request has not run."""
        return (
            self.status == 421
            or self.find_header(names.NOT_EXECUTED) == names.NOT_EXECUTED_VALUE
        )

    def _is_whole(self) -> bool:
        """Return whether the contents of a stream that ended are complete.

        A server that fails may end a body as if it were complete. Without an
        event, it did so before the first one, unless all events had been
        passed on before the stream was resumed.
        """
        if self.first_data_at is None:
            return self.head.framed and self._follows_event()
        if self._buffer is not None:
            return not self._buffer.rest
        return events.ends_event(self._tail)

    def _follows_event(self) -> bool:
        """Return whether the stream goes on after an event."""
        return self._buffer is not None and (
            self._buffer.passed or self._buffer.last_id is not None
        )
