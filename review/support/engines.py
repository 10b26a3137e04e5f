"""Stand-in for model servers that stream events, and their configuration."""

from __future__ import annotations

import asyncio
import json

import attrs
import plain

from standins import rawhttp

MODEL = "m"
ROUTES = [
    {
        "name": "digest",
        "hostname": "h",
        "path_prefix": "/digest/",
        "route_kind": "streaming",
        "timeout_ms": 15000,
        "aim_ms": 1000,
        "priority": 1,
        "service": "scribe",
        "max_attempts": 1,
        "sticky": True,
        "resumable": False,
        "gap_target_ms": 250,
    },
]
SERVICES = [
    {
        "name": "scribe",
        "health_path": "/healthz",
        "max_conns": 620,
        "runtime": {
            "capacity": 128,
            "kv_capacity": 149363,
            "models": [
                {
                    "name": MODEL,
                    "weights_mb": 16100,
                    "load_time_s": 1.3,
                    "adapters": 3000,
                    "adapter_mb": 14,
                }
            ],
            "weights_mb": 16700,
            "adapter_slots": 17,
            "loads_per_s": 4.3,
        },
    },
]


def make_configuration(version: int) -> dict[str, object]:
    """Return a configuration with the plain service and the engines."""
    return {
        "version": version,
        "routes": [*plain.ROUTES, *ROUTES],
        "services": [*plain.SERVICES, *SERVICES],
        "limits": plain.LIMITS,
    }


@attrs.define
class Engine:
    """A model server that holds the base model.

    :param events: number of events of an answer
    :param interval_s: time before each event
    """

    identity: str
    events: int
    interval_s: float
    active: int = 0

    async def handle(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a control call, or answer a request."""
        if request.target == "/api/report":
            report = {
                "models": list_models(),
                "busy": False,
                "sequence": 0,
                "pending": [],
            }
            writer.write(
                plain.encode("200 OK", {}, json.dumps(report).encode())
            )
        elif request.target == "/api/order":
            writer.write(plain.encode("409 Conflict", {}))
        else:
            await self._stream(request, writer)

    async def _stream(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers["x-request-id"]
        head = (
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Server-Signature: {self.identity}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.interval_s)
            if number == 1:
                writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def list_models() -> list[dict[str, object]]:
    """Return what the entry of an engine says of its models."""
    return [{"name": MODEL, "version": 1, "adapters": []}]
