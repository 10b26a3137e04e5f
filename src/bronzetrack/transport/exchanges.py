"""Exchanges: one request of a caller and its response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bronzetrack.transport import heads


class ResponseChannel(Protocol):
    """Connection that a response is sent on.

    :ivar caller: IP address of the caller, empty if it is not known
    :ivar is_writable: whether more should be written now
    """

    caller: str
    is_writable: bool

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed or closing."""

    def can_keep_open(self, exchange: Exchange) -> bool:
        """Return whether the connection may stay open after a response."""

    def end_exchange(self, keep_open: bool) -> None:
        """Serve the next request, or close the connection."""

    def abort(self, reset: bool = False) -> None:
        """Abort the connection without sending buffered bytes."""


class Exchange:
    """One request of a caller and the methods that send its response."""

    def __init__(self, connection: ResponseChannel, head: heads.Head) -> None:
        self.head = head
        self.body = b""
        self.arrived_at = 0.0
        # Memory that is charged to the account, in bytes.
        self.cost = 0
        self.started = False
        self.finished = False
        self._on_writable_change: Callable[[bool], None] | None = None
        self._chunked = False
        self._keep_open = False
        self._connection = connection

    @property
    def caller(self) -> str:
        """IP address of the caller, empty if it is not known."""
        return self._connection.caller

    def watch_writable(self, on_change: Callable[[bool], None]) -> None:
        """Be told whether more of the response may be written now.

        :param on_change: called at each change, and at once if an earlier
            response still fills the buffer of the connection
        """
        self._on_writable_change = on_change
        if not self._connection.is_writable:
            on_change(False)

    def change_writable(self, writable: bool) -> None:
        """Tell the sender of the response whether it may write more."""
        if self._on_writable_change is not None:
            self._on_writable_change(writable)

    def respond(
        self, status: int, headers: heads.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        keep_open = self._connection.can_keep_open(self)
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if not keep_open:
            headers.append((b"Connection", b"close"))
        data = heads.encode_head(status, headers)
        if self.head.method != b"HEAD":
            data += body
        self.started = True
        self._connection.write(data)
        self._finish(keep_open)

    def start(self, status: int, headers: heads.Headers) -> None:
        """Send the head of a response whose body follows in parts."""
        self.started = True
        self._chunked = self.head.version == "1.1"
        headers = list(headers)
        if self._chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        self._keep_open = self._chunked and self._connection.can_keep_open(
            self
        )
        if not self._keep_open:
            headers.append((b"Connection", b"close"))
        self._connection.write(heads.encode_head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def finish(self) -> None:
        """End a response that was sent in parts."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish(self._keep_open and self._connection.can_keep_open(self))

    def abort(self) -> None:
        """Abort the connection, so that the response cannot look complete.

        A response without chunks ends with the connection, which is reset.
        """
        self.finished = True
        self._connection.abort(reset=self.started and not self._chunked)

    def _finish(self, keep_open: bool) -> None:
        self.finished = True
        self._connection.end_exchange(keep_open)
