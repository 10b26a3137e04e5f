"""HTTP client for calls whose whole response is collected.

It is used for the store and for the orders and reports of engines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from bronzetrack.transport import connections
from bronzetrack.transport import heads
from bronzetrack.transport import limits


@attrs.frozen
class Response:
    """A complete response."""

    status: int
    body: bytes


@attrs.define(eq=False)
class ResponseCollector:
    """Receiver that collects one response.

    :param done: resolves when the response ends, or exceeds the size that is
        collected
    """

    done: asyncio.Future[connections.ResponseEnd]
    head: heads.ResponseHead | None = None
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def on_head(self, head: heads.ResponseHead) -> None:
        """Store the status line and headers."""
        self.head = head

    def on_data(self, data: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        self.size += len(data)
        if self.size > limits.CALL_BODY_BYTES:
            self.on_end(connections.ResponseEnd.OVERSIZED)
            return
        self.parts.append(data)

    def on_end(self, end: connections.ResponseEnd) -> None:
        """Resolve the future with the way in which the response ended."""
        if not self.done.done():
            self.done.set_result(end)


class HttpClient:
    """HTTP client with one connection pool for each address."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._pools: dict[str, connections.Pool] = {}

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Response | None:
        """Send a request and return the response.

        :param target: path and query
        :param timeout_s: longest time for the whole call, in seconds
        :returns: the response, or None if no complete one arrived in time,
            in which case the call may have been executed
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = connections.Pool(address)
            self._pools[address] = pool
        try:
            async with asyncio.timeout(timeout_s):
                connection = pool.take_idle(self._read_clock())
                if connection is None:
                    connection = await pool.connect()
                if connection is None:
                    return None
                return await self._exchange(
                    pool, connection, method, target, body, headers
                )
        except TimeoutError:
            return None

    async def _exchange(
        self,
        pool: connections.Pool,
        connection: connections.Connection,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> Response | None:
        lines = [
            f"{method} {target} HTTP/1.1".encode(),
            b"Host: " + pool.address.encode(),
            *(name + b": " + value for name, value in headers),
            b"Content-Length: %d" % len(body),
        ]
        data = b"\r\n".join(lines) + b"\r\n\r\n" + body
        future = asyncio.get_running_loop().create_future()
        collector = ResponseCollector(future)
        connection.send(data, collector, b"", False)
        try:
            end = await future
        except BaseException:
            pool.discard(connection)
            raise
        if (
            end is not connections.ResponseEnd.COMPLETE
            or collector.head is None
        ):
            pool.discard(connection)
            return None
        pool.put_back(connection, self._read_clock())
        return Response(collector.head.status, b"".join(collector.parts))
