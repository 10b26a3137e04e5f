"""Streamed HTTP/1.1 responses that are read as raw bytes.

httpcore and h11 handle each chunk as several events and time limits, which
was two thirds of the cost of a relayed chunk. Here h11 reads the head only.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs
import h11
import httpcore

if TYPE_CHECKING:
    from anyio import abc

READ_BYTES = 65_536
CHUNK_BYTES = 16_777_216
SIZE_LINE_BYTES = 1_024
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class ChunkedDecoder:
    """Takes the framing of the chunked transfer encoding away."""

    def __init__(self) -> None:
        self.ended = False
        self._pending = b""

    def decode(self, data: bytes) -> bytes:
        """Return the content of whole chunks.

        :raises httpcore.RemoteProtocolError: the framing is broken
        """
        pending = self._pending + data
        parts = []
        start = 0
        while not self.ended:
            line_end = pending.find(b"\r\n", start)
            if line_end < 0:
                if len(pending) - start > SIZE_LINE_BYTES:
                    raise httpcore.RemoteProtocolError("chunk size too long")
                break
            first = line_end + 2
            size = _read_size(pending[start:line_end])
            if size == 0:
                self.ended = True
                break
            if len(pending) < first + size + 2:
                break
            if pending[first + size : first + size + 2] != b"\r\n":
                raise httpcore.RemoteProtocolError("chunk without end of line")
            parts.append(pending[first : first + size])
            start = first + size + 2
        self._pending = pending[start:]
        return b"".join(parts)


def _read_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not 0 < len(digits) <= 8 or not HEX_DIGITS.issuperset(digits):
        raise httpcore.RemoteProtocolError(f"chunk size {digits[:16]!r}")
    size = int(digits, 16)
    if size > CHUNK_BYTES:
        raise httpcore.RemoteProtocolError(f"chunk of {size} bytes")
    return size


class PlainDecoder:
    """Passes a body on up to its length.

    :param length: None if the body ends with the connection
    """

    def __init__(self, length: int | None) -> None:
        self.ended = length == 0
        self._left = length

    @property
    def is_open_ended(self) -> bool:
        """Whether the end of the connection is the end of the body."""
        return self._left is None

    def decode(self, data: bytes) -> bytes:
        """Return what belongs to the body."""
        if self._left is None:
            return data
        content = data[: self._left]
        self._left -= len(content)
        self.ended = self._left == 0
        return content


def _make_decoder(
    headers: Mapping[bytes, bytes],
) -> ChunkedDecoder | PlainDecoder:
    if b"transfer-encoding" in headers:
        return ChunkedDecoder()
    length = headers.get(b"content-length")
    return PlainDecoder(None if length is None else int(length))


@attrs.define
class StreamedResponse:
    """A response whose body is read from the connection.

    :param headers: names in lower case
    :param timeout_s: for each read
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    _stream: abc.ByteStream
    _scope: anyio.CancelScope
    _first: bytes
    _timeout_s: float

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives.

        :raises httpcore.RemoteProtocolError: the body is incomplete
        """
        decoder = _make_decoder(dict(self.headers))
        data = self._first
        while True:
            content = decoder.decode(data) if data else b""
            if content:
                yield content
            if decoder.ended:
                return
            _extend(self._scope, self._timeout_s)
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                if isinstance(decoder, PlainDecoder) and decoder.is_open_ended:
                    return
                raise httpcore.RemoteProtocolError("body cut off") from None

    async def aread(self) -> bytes:
        """Return the whole body."""
        return b"".join([part async for part in self.aiter_stream()])


def _extend(scope: anyio.CancelScope, timeout_s: float) -> None:
    """Move the deadline, at most ten times within a time limit.

    Each move of a deadline costs a timer of the event loop.
    """
    deadline = anyio.current_time() + timeout_s
    if deadline - scope.deadline > timeout_s / 10:
        scope.deadline = deadline


@contextlib.asynccontextmanager
async def open_stream(
    host: str,
    port: int,
    method: str,
    path: str,
    connect_timeout_s: float,
    timeout_s: float,
    body: bytes,
    headers: Mapping[str, str],
) -> AsyncIterator[StreamedResponse]:
    """Open a response on a connection of its own.

    :param timeout_s: for each read; rounded up by a tenth
    :raises httpcore.NetworkError: no connection, or it broke
    :raises httpcore.TimeoutException: no connection or no data in time
    :raises httpcore.ProtocolError: the response is not valid
    """
    stream = await _connect(host, port, connect_timeout_s)
    async with stream:
        with anyio.CancelScope() as scope:
            scope.deadline = anyio.current_time() + timeout_s
            try:
                yield await _exchange_heads(
                    stream,
                    scope,
                    h11.Request(
                        method=method,
                        target=path,
                        headers=[
                            ("Host", f"{host}:{port}"),
                            ("Content-Length", str(len(body))),
                            ("Connection", "close"),
                            *headers.items(),
                        ],
                    ),
                    body,
                    timeout_s,
                )
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                raise httpcore.ReadError("connection broke") from None
            except anyio.EndOfStream:
                raise httpcore.RemoteProtocolError("no response") from None
            except h11.ProtocolError as error:
                raise httpcore.RemoteProtocolError(str(error)) from None
    if scope.cancelled_caught:
        raise httpcore.ReadTimeout(f"no data for {timeout_s} s")


async def _connect(host: str, port: int, timeout_s: float) -> abc.ByteStream:
    try:
        with anyio.fail_after(timeout_s):
            return await anyio.connect_tcp(host, port)
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"{host}:{port}") from None
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from None


async def _exchange_heads(
    stream: abc.ByteStream,
    scope: anyio.CancelScope,
    request: h11.Request,
    body: bytes,
    timeout_s: float,
) -> StreamedResponse:
    connection = h11.Connection(h11.CLIENT)
    head = connection.send(request) or b""
    connection.send(h11.Data(data=body))
    connection.send(h11.EndOfMessage())
    await stream.send(head + body)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive(READ_BYTES))
        elif isinstance(event, h11.Response):
            return StreamedResponse(
                event.status_code,
                list(event.headers),
                stream,
                scope,
                connection.trailing_data[0],
                timeout_s,
            )
