"""HTTP/1.1 server and client of the stand-ins, with control of every byte."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import socket


@dataclasses.dataclass
class Request:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


RECEIVE_BYTES = 16_384
Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = parse_headers(lines)
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return header values by name in lower case."""
    return {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }


def make_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return an encoded response with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Listening server that serves one request at a time on a connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening and return the address as HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, host, port)
        name, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{name}:{port}"
        return self.address

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._handler(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclasses.dataclass
class Response:
    """A response as a client received it.

    :param whole: whether its framing shows that it is complete
    :param error: how the connection ended, empty if it was orderly
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    error: str = ""


class Channel:
    """Client connection that is kept for many requests.

    :param receive_buffer: size of the socket's receive buffer in bytes
    :param segment: largest TCP segment in bytes
    :param bytes_per_s: rate at which the client reads, None for no limit
    """

    def __init__(
        self,
        receive_buffer: int | None = None,
        segment: int | None = None,
        bytes_per_s: float | None = None,
    ) -> None:
        self._receive_buffer = receive_buffer
        self._segment = segment
        self._bytes_per_s = bytes_per_s
        self._socket: socket.socket | None = None
        self._data = b""

    async def connect(self, host: str, port: int) -> None:
        """Open the connection."""
        client = socket.socket()
        client.setblocking(False)
        if self._receive_buffer is not None:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        if self._segment is not None:
            client.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, self._segment
            )
        self._socket = client
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(loop.sock_connect(client, (host, port)), 5)

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Response:
        """Send a request and return the response."""
        lines = [f"{method} {path} HTTP/1.1"]
        if body or method == "POST":
            headers = headers | {"Content-Length": str(len(body))}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_sendall(self._socket, data)
            async with asyncio.timeout(timeout_s):
                return await self._read_response()
        except (ConnectionError, TimeoutError) as error:
            return Response(0, {}, b"", False, repr(error))

    async def _read_response(self) -> Response:
        while b"\r\n\r\n" not in self._data:
            if not await self._receive():
                return Response(0, {}, b"", False, "closed")
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        response = Response(
            int(first.split()[1]), parse_headers(lines), b"", False
        )
        try:
            if response.headers.get("transfer-encoding") == "chunked":
                await self._read_chunks(response)
            else:
                length = int(response.headers.get("content-length", 0))
                await self._read_length(response, length)
        except ConnectionError as error:
            response.error = repr(error)
        return response

    async def _read_length(self, response: Response, length: int) -> None:
        while len(self._data) < length:
            if not await self._receive():
                response.error = "closed"
                break
        response.body = self._data[:length]
        response.whole = len(response.body) == length
        self._data = self._data[length:]

    async def _read_chunks(self, response: Response) -> None:
        while True:
            while b"\r\n" not in self._data:
                if not await self._receive():
                    response.error = "closed"
                    return
            line, _, self._data = self._data.partition(b"\r\n")
            size = int(line, 16)
            while len(self._data) < size + 2:
                if not await self._receive():
                    response.error = "closed"
                    return
            response.body += self._data[:size]
            self._data = self._data[size + 2 :]
            if size == 0:
                response.whole = True
                return

    async def _receive(self) -> bool:
        """Receive some bytes; return whether any arrived before the end."""
        loop = asyncio.get_running_loop()
        part = await loop.sock_recv(self._socket, RECEIVE_BYTES)
        self._data += part
        if self._bytes_per_s is not None:
            await asyncio.sleep(len(part) / self._bytes_per_s)
        return bool(part)
