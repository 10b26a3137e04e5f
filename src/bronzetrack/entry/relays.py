"""Relay of an endpoint's answer to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import enum

from bronzetrack.entry import events
from bronzetrack.entry import requests
from bronzetrack.platform import names
from bronzetrack.transport import connections
from bronzetrack.transport import heads
from bronzetrack.transport import server


class Outcome(enum.Enum):
    """Result of sending a request to one endpoint.

    REJECTED means that the endpoint stated that it has not run the request.
    """

    DELIVERED = "delivered"
    ANSWERED = "answered"
    REJECTED = "rejected"
    LOST = "lost"
    MALFORMED = "malformed"


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
    collected until they are complete.

    :param buffer: splits a resumable stream into complete events, `None` for
        other answers
    """

    def __init__(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        connection: connections.Connection,
        buffer: events.EventBuffer | None,
        read_clock: Callable[[], float],
    ) -> None:
        self.done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.head: heads.ResponseHead | None = None
        self.first_byte_at: float | None = None
        self._exchange = exchange
        self._request = request
        self._connection = connection
        self._buffer = buffer
        self._read_clock = read_clock
        self._parts: list[bytes] = []
        self._is_stream = False
        self._tail = b""

    @property
    def body(self) -> bytes:
        """Body of an answer that was not streamed."""
        return b"".join(self._parts)

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
        route = self._request.route
        self._is_stream = (
            head.status == 200 and route is not None and route.streams
        )
        if self._is_stream:
            self._exchange.on_writable_change = self._control_flow
            if not self._exchange.started:
                self._exchange.start(200, select_headers(head.headers))

    def _control_flow(self, writable: bool) -> None:
        if writable:
            self._connection.resume()
        else:
            self._connection.pause()

    def on_data(self, data: bytes) -> None:
        """Forward a part of a stream, or collect a part of another answer."""
        if not self._is_stream:
            self._parts.append(data)
            return
        if self._buffer is not None:
            data = self._buffer.feed(data)
        else:
            self._tail = (self._tail + data)[-2:]
        if data:
            self._exchange.write(data)

    def on_end(self, end: connections.ResponseEnd) -> None:
        """Set the outcome of the send."""
        if not self.done.done():
            self.done.set_result(self._classify_end(end))

    def _classify_end(self, end: connections.ResponseEnd) -> Outcome:
        if end is connections.ResponseEnd.MALFORMED:
            return Outcome.MALFORMED
        if end is connections.ResponseEnd.TRUNCATED or self.head is None:
            return Outcome.LOST
        if self._is_stream:
            return (
                Outcome.DELIVERED if self._may_be_complete() else Outcome.LOST
            )
        if (
            self.head.status == 421
            or self.head.find(names.NOT_EXECUTED) is not None
        ):
            return Outcome.REJECTED
        return Outcome.ANSWERED

    def _may_be_complete(self) -> bool:
        """Return whether a stream that ended may be complete.

        An answer without a length ends with its connection, so that a
        connection lost within an event looks like a normal end.
        """
        if self.head is None or self.head.framed:
            return True
        if self._buffer is not None:
            return not self._buffer.rest
        return self._tail in (b"", events.BOUNDARY)
