"""Relays one endpoint's answer to the caller."""

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
    """What became of one send.

    REJECTED means that the endpoint said that it has not run the request.
    """

    DELIVERED = "delivered"
    ANSWERED = "answered"
    REJECTED = "rejected"
    LOST = "lost"
    MALFORMED = "malformed"


def select_headers(headers: heads.Headers) -> heads.Headers:
    """Return the headers of an answer that go on to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in names.HOP_BY_HOP
    ]


class Relay:
    """Receives an answer; streams go on at once, others when complete.

    :param buffer: cuts a stream that may be resumed into whole events
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
        self.head: heads.AnswerHead | None = None
        self.first_byte_at: float | None = None
        self._exchange = exchange
        self._request = request
        self._connection = connection
        self._buffer = buffer
        self._read_clock = read_clock
        self._parts: list[bytes] = []
        self._streams = False
        self._tail = b""

    @property
    def body(self) -> bytes:
        """Body of an answer that was not streamed."""
        return b"".join(self._parts)

    @property
    def status(self) -> int:
        """Status of the answer, 0 without one."""
        return self.head.status if self.head else 0

    def find_header(self, name: bytes) -> bytes | None:
        """Return a header of the answer."""
        return self.head.find(name) if self.head else None

    def on_head(self, head: heads.AnswerHead) -> None:
        """Start a stream, or collect the answer."""
        self.head = head
        self.first_byte_at = self._read_clock()
        route = self._request.route
        self._streams = (
            head.status == 200 and route is not None and route.streams
        )
        if self._streams:
            self._exchange.on_drain = self._control_flow
            if not self._exchange.started:
                self._exchange.start(200, select_headers(head.headers))

    def _control_flow(self, writable: bool) -> None:
        if writable:
            self._connection.resume()
        else:
            self._connection.pause()

    def on_data(self, data: bytes) -> None:
        """Pass a part on, or keep it."""
        if not self._streams:
            self._parts.append(data)
            return
        if self._buffer is not None:
            data = self._buffer.feed(data)
        else:
            self._tail = (self._tail + data)[-2:]
        if data:
            self._exchange.write(data)

    def on_end(self, end: connections.End) -> None:
        """Tell what became of the send."""
        if not self.done.done():
            self.done.set_result(self._judge(end))

    def _judge(self, end: connections.End) -> Outcome:
        if end is connections.End.MALFORMED:
            return Outcome.MALFORMED
        if end is connections.End.CUT or self.head is None:
            return Outcome.LOST
        if self._streams:
            return Outcome.DELIVERED if self._is_whole() else Outcome.LOST
        if (
            self.head.status == 421
            or self.head.find(names.NOT_EXECUTED) is not None
        ):
            return Outcome.REJECTED
        return Outcome.ANSWERED

    def _is_whole(self) -> bool:
        """Return whether a stream that ended may be complete.

        Without a length, the end of the connection is the end of the answer,
        also if the endpoint broke off within an event.
        """
        if self.head is None or self.head.framed:
            return True
        if self._buffer is not None:
            return not self._buffer.rest
        return self._tail in (b"", events.BOUNDARY)
