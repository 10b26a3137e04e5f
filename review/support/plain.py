"""Stand-in for a plain service, and its part of a configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from standins import rawhttp

WORK_S = 0.02
ROUTES = [
    {
        "name": "once",
        "hostname": "h",
        "path_prefix": "/once/",
        "route_kind": "unsafe",
        "timeout_ms": 1000,
        "aim_ms": 125,
        "priority": 0,
        "service": "plain",
        "max_attempts": 1,
    },
    {
        "name": "safe",
        "hostname": "h",
        "path_prefix": "/safe/",
        "route_kind": "safe",
        "timeout_ms": 1000,
        "aim_ms": 125,
        "priority": 0,
        "service": "plain",
        "max_attempts": 2,
    },
]
SERVICES = [{"name": "plain", "health_path": "/healthz", "max_conns": 100}]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def make_configuration(version: int, **fields: object) -> dict[str, object]:
    """Return a configuration with the plain service only.

    :param fields: fields to add
    """
    return {
        "version": version,
        "routes": ROUTES,
        "services": SERVICES,
        "limits": LIMITS,
        **fields,
    }


@attrs.define
class Run:
    """A request that a server ran.

    :param status: status of the server's answer
    """

    request_id: str
    server: str
    headers: dict[str, str]
    status: int


def encode(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode an answer; its length is the last header."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@attrs.define
class PlainServer:
    """A server of the plain service.

    :param runs: requests that ran, shared by the servers
    :param log: called with each answer
    """

    identity: str
    runs: list[Run]
    log: Callable[[str], None]

    async def handle(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request."""
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.identity):
            writer.write(
                encode(
                    "421 Misdirected Request",
                    {
                        "X-Instance-Id": self.identity,
                        "X-Request-Id": request.headers.get(
                            "x-request-id", ""
                        ),
                    },
                )
            )
            return
        await self.answer(request, writer)

    async def answer(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it with success."""
        writer.write(await self.run(request, "200 OK", b"done"))

    async def run(
        self, request: rawhttp.Received, status: str, body: bytes
    ) -> bytes:
        """Run a request and return the encoded answer."""
        request_id = request.headers["x-request-id"]
        code = int(status.split()[0])
        self.runs.append(Run(request_id, self.identity, request.headers, code))
        self.log(f"{self.identity} runs {request_id}: {code}")
        await asyncio.sleep(WORK_S)
        return encode(
            status,
            {
                "X-Request-Id": request_id,
                "X-Server-Signature": f"{self.identity}.{request_id}",
                "Content-Type": "text/plain",
            },
            body,
        )
