"""HTTP client for calls whose whole response is collected.

It is used for the store and for the orders and reports of engines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from bronzetrack.transport import connections
from bronzetrack.transport import errors
from bronzetrack.transport import heads
from bronzetrack.transport import limits


@attrs.frozen
class Response:
    """A complete response."""

    status: int
    # Not in the repr, since a configuration holds secret keys.
    body: bytes = attrs.field(repr=False)
    headers: heads.Headers = attrs.field(factory=list, repr=False)

    def list_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header.

        :param name: in lower case
        """
        return [value for key, value in self.headers if key.lower() == name]


@attrs.define(eq=False)
class ResponseCollector:
    """Receiver that collects one response.

    :param done: resolves when the response ends, or exceeds a limit
    """

    done: asyncio.Future[connections.ResponseEnd]
    body_limits: limits.BodyLimits = limits.STORE_BODY
    head: heads.ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray, repr=False)
    pieces: int = 0

    def on_head(self, head: heads.ResponseHead) -> None:
        """Store the status line and headers."""
        self.head = head

    def on_data(self, data: bytes) -> None:
        """Append a part of the body.

        :raises errors.OversizedError: it exceeds a limit, which ends the
            parsing of what has arrived
        """
        self.pieces += 1
        size = len(self.body) + len(data)
        if (
            size > self.body_limits.size
            or self.pieces > self.body_limits.pieces
        ):
            self.on_end(connections.ResponseEnd.OVERSIZED)
            raise errors.OversizedError("the body of a response is too long")
        self.body += data

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
        body_limits: limits.BodyLimits = limits.STORE_BODY,
        avoided: connections.PastExchange | None = None,
    ) -> Response | None:
        """Send a request and return the response.

        :param target: path and query
        :param timeout_s: longest time for the whole call, in seconds
        :param body_limits: limits of the body that is accepted
        :param avoided: last exchange of connections that are not used, as its
            response, if it came twice, would be taken for that to this request
        :returns: the response, or None if no complete one arrived in time,
            in which case the call may have been executed
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = connections.Pool(address)
            self._pools[address] = pool
        try:
            async with asyncio.timeout(timeout_s):
                connection = pool.take_idle(
                    self._read_clock(), _list_past(pool, avoided)
                )
                if connection is None:
                    connection = await pool.connect()
                if connection is None:
                    return None
                collector = ResponseCollector(
                    asyncio.get_running_loop().create_future(), body_limits
                )
                return await self._exchange(
                    pool, connection, collector, method, target, body, headers
                )
        except TimeoutError:
            return None

    async def _exchange(
        self,
        pool: connections.Pool,
        connection: connections.Connection,
        collector: ResponseCollector,
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
        connection.send(data, collector, b"", False)
        try:
            end = await collector.done
        except BaseException:
            pool.discard(connection)
            raise
        if (
            end is not connections.ResponseEnd.COMPLETE
            or collector.head is None
        ):
            pool.discard(connection)
            return None
        status = collector.head.status
        connection.past = connections.PastExchange(target, status)
        pool.put_back(connection, self._read_clock())
        return Response(status, bytes(collector.body), collector.head.headers)


def _list_past(
    pool: connections.Pool, past: connections.PastExchange | None
) -> list[connections.Connection]:
    """Return the idle connections with a certain last exchange."""
    if past is None:
        return []
    return [item for item in pool.idle if item.past == past]
