"""Parser of the requests of one connection, which checks their sizes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from typing import TYPE_CHECKING

import httptools

from bronzetrack.transport import account as accounts
from bronzetrack.transport import exchanges
from bronzetrack.transport import heads

if TYPE_CHECKING:
    from bronzetrack.entry import routes

# Colon and end of a header line.
MIN_LINE_BYTES = 3
# A body that arrives more slowly than this, after the time for a head, is
# given up.
MIN_BODY_BYTES_PER_S = 1_000


class RequestReceiver(exchanges.ResponseChannel, Protocol):
    """Connection whose requests are parsed."""

    def reject(
        self,
        status: int,
        detail: str,
        reason: accounts.Reason = accounts.Reason.MALFORMED,
    ) -> None:
        """Stop reading requests; send an error and close the connection."""

    def begin_body(self, now: float) -> None:
        """Read the body of a request whose head is accepted."""

    def continue_large_body(self) -> None:
        """Ask for memory for a body that turns out to be large."""

    def accept(self, exchange: exchanges.Exchange) -> None:
        """Serve a complete request."""


class Bounds(Protocol):
    """What bounds the requests of a listener.

    :ivar read_clock: returns the time in seconds
    """

    read_clock: Callable[[], float]
    limits: routes.Limits
    account: accounts.Account


class RequestParser:
    """Turns the bytes of a caller into requests.

    Requests that exceed a limit are rejected through the connection.
    """

    def __init__(self, connection: RequestReceiver, listener: Bounds) -> None:
        # Whether what arrives is no longer parsed.
        self.is_closed = False
        # Request that is incomplete.
        self.exchange: exchanges.Exchange | None = None
        self.body_size = 0
        self.stated_length = 0
        self.expects_continue = False
        self.head_started_at: float | None = None
        self.body_started_at: float | None = None
        self._connection = connection
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        # One piece, or several that are joined as they arrive.
        self._body: bytes | bytearray = b""
        self._max_head_bytes = 0
        self._line_bytes = 0
        self._framing_bytes = 0
        self._head_bytes = 0

    @property
    def head_cost(self) -> int:
        """Memory that the head of the incomplete request takes, in bytes."""
        lines = len(self.exchange.head.headers) if self.exchange else 0
        return self._line_bytes + lines * accounts.LINE_BYTES

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the incomplete body."""
        return len(self._body)

    @property
    def is_begun(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.exchange is not None or self.head_started_at is not None

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes that have arrived."""
        if self.exchange is None and self.head_started_at is None:
            self.head_started_at = self._listener.read_clock()
        if self.head_started_at is not None:
            self._head_bytes += len(data)
        else:
            self._framing_bytes += len(data)
        reject = self._connection.reject
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            reject(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            reject(400, f"not HTTP: {error}")
        max_bytes = self._listener.limits.header_bytes
        if self.head_started_at is not None and self._head_bytes > max_bytes:
            reject(431, "the head is too long", accounts.Reason.LIMIT)
        if (
            self.body_started_at is not None
            and self._framing_bytes > max_bytes
        ):
            reject(400, "the framing of the body is too long")

    def discard(self) -> None:
        """Drop what was read of an incomplete request."""
        self.exchange = None
        self._body = b""
        self.body_started_at = None
        self.head_started_at = None

    def is_head_late(self, now: float) -> bool:
        """Return whether the head of a request arrives too slowly."""
        return (
            self.head_started_at is not None
            and now - self.head_started_at
            > self._listener.limits.header_timeout_s
        )

    def is_body_late(self, now: float) -> bool:
        """Return whether the body of a request arrives too slowly."""
        if self.body_started_at is None:
            return False
        allowed_s = (
            self._listener.limits.header_timeout_s
            + self.body_size / MIN_BODY_BYTES_PER_S
        )
        return now - self.body_started_at > allowed_s

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request, unless the input was rejected before it."""
        if self.is_closed:
            return
        self.exchange = exchanges.Exchange(self._connection, heads.Head())
        self._body = b""
        self.body_size = 0
        self._line_bytes = 0
        self._max_head_bytes = self._listener.limits.header_bytes
        self.stated_length = 0
        if self.head_started_at is None:
            # The request began in a read that ended another one.
            self.head_started_at = self._listener.read_clock()
            self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self.exchange is not None and not self.is_closed:
            self.exchange.head.target += url
            self._line_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the request; trailers are dropped."""
        if (
            self.exchange is None
            or self.body_started_at is not None
            or self.is_closed
        ):
            return
        self._line_bytes += len(name) + len(value) + MIN_LINE_BYTES
        if self._line_bytes > self._max_head_bytes:
            self._connection.reject(
                431, "the head is too long", accounts.Reason.LIMIT
            )
            return
        self.exchange.head.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the request head before the body is read."""
        self.head_started_at = None
        self._head_bytes = 0
        if self.exchange is None or self.is_closed:
            return
        if self._listener.account.is_full:
            self._connection.reject(
                503, "no memory for the request", accounts.Reason.MEMORY
            )
            return
        self.body_started_at = self._listener.read_clock()
        self._framing_bytes = 0
        head = self.exchange.head
        head.method = self._parser.get_method()
        head.version = self._parser.get_http_version()
        head.keep_alive = self._parser.should_keep_alive()
        framing_error = heads.find_framing_error(head)
        if framing_error is not None:
            self._connection.reject(400, framing_error)
            return
        length = head.find(b"content-length")
        if length and int(length) > self._listener.limits.body_bytes:
            self._reject_body()
            return
        self.stated_length = int(length or 0)
        expectation = head.find(b"expect")
        self.expects_continue = bool(
            expectation and expectation.lower() == b"100-continue"
        )
        self._connection.begin_body(self.body_started_at)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        if self.is_closed:
            return
        self._framing_bytes = 0
        self.body_size += len(data)
        if self.body_size > self._listener.limits.body_bytes:
            self._reject_body()
            return
        if not self._body:
            self._body = data
        elif isinstance(self._body, bytearray):
            self._body += data
        else:
            self._body = bytearray(self._body)
            self._body += data
        if self.body_size > accounts.SMALL_BODY_BYTES:
            self._connection.continue_large_body()

    def _reject_body(self) -> None:
        self._connection.reject(
            413, "the body is too long", accounts.Reason.LIMIT
        )

    def on_message_complete(self) -> None:
        """Hand the request over to the connection."""
        head_cost = self.head_cost
        exchange, self.exchange = self.exchange, None
        self.body_started_at = None
        if exchange is None or self.is_closed:
            return
        exchange.body = bytes(self._body)
        exchange.arrived_at = self._listener.read_clock()
        exchange.cost = head_cost + len(exchange.body) * accounts.BODY_COPIES
        self._body = b""
        self._connection.accept(exchange)
