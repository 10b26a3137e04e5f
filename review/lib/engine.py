"""Stand-in for a model server with adapters, as the pages describe one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import json

import http_peer

STORE_LOAD_S = 0.25
# An adapter that was held recently loads ten times as fast.
WARM_LOAD_S = 0.025
REPORT_LAG_S = 0.2
MAX_PENDING = 4


@dataclasses.dataclass
class Engine:
    """State of one model server.

    :param identity: id of the server
    :param model: base model, which it holds from the start
    :param slots: places for adapters
    :param events: number of events of a stream
    :param pause_s: time between two events
    :param loses_answer: returns whether an order gets no answer
    :param late_s: when such an order is carried out, None for at once
    :param record: writes a line to the record of the run
    """

    identity: str
    model: str
    slots: int
    events: int
    pause_s: float
    record: Callable[[str], None]
    loses_answer: Callable[[dict], bool] = lambda order: False
    late_s: Callable[[], float | None] = lambda: None
    sequence: int = 0
    fence: int = 0
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    pending: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)
    known: set[str] = dataclasses.field(default_factory=set)
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    reports: list[tuple[float, dict]] = dataclasses.field(default_factory=list)
    overflows: int = 0
    runs: list[str] = dataclasses.field(default_factory=list)
    started: int = 1

    async def handle(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Handle an order, a report call or a request."""
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.identity):
            writer.write(self._refuse(request, 421))
        elif request.target == "/api/report":
            writer.write(
                http_peer.make_response(
                    200, json.dumps(self._report()).encode()
                )
            )
        elif request.target == "/api/order":
            await self._answer_order(json.loads(request.body), writer)
        else:
            await self._run(request, writer)

    def list_models(self) -> list[dict]:
        """Return the `models` field of reports and entries."""
        names = [f"{name}@{v}" for name, v in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": names}]

    # Reports.

    def _snap(self) -> None:
        """Keep the present state for reports, which are a little old."""
        now = asyncio.get_running_loop().time()
        document = {
            "phase": "colocated",
            "models": self.list_models(),
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "active": sum(self.running.values()),
            "pending": [
                f"{self.model}/{name}@{v}" for name, v in self.pending.items()
            ],
        }
        self.reports.append((now, document))

    def _report(self) -> dict:
        if not self.reports:
            self._snap()
        limit = asyncio.get_running_loop().time() - REPORT_LAG_S
        while len(self.reports) > 1 and self.reports[1][0] <= limit:
            del self.reports[0]
        return self.reports[0][1]

    # Orders.

    async def _answer_order(
        self, order: dict, writer: asyncio.StreamWriter
    ) -> None:
        if not self.loses_answer(order):
            writer.write(http_peer.make_response(self.carry_out(order)))
            return
        late_s = self.late_s()
        self.record(
            f"{self.identity}: gives no answer to {_describe(order)},"
            f" carries it out after {late_s or 0:.1f} s"
        )
        loop = asyncio.get_running_loop()
        if late_s is None:
            self.carry_out(order)
        else:
            loop.call_later(late_s, self.carry_out, order)
        # A channel on which an answer is lost returns nothing further.
        await asyncio.sleep(30)

    def carry_out(self, order: dict) -> int:
        """Carry out an order and return the status."""
        status = self._carry_out(order)
        self.record(f"{self.identity}: {_describe(order)} -> {status}")
        self._snap()
        return status

    def _carry_out(self, order: dict) -> int:
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        name = order.get("adapter")
        if order["model"] != self.model or not name:
            return 400
        if order["operation"] == "unload":
            return self._unload(name)
        version = order.get("version", 1)
        if self.adapters.get(name) == version or name in self.pending:
            return 200
        if len(self.pending) >= MAX_PENDING:
            return 409
        occupied = set(self.adapters) | set(self.pending)
        if len(occupied | {name}) > self.slots:
            self.overflows += 1
        self.sequence += 1
        self.pending[name] = version
        loop = asyncio.get_running_loop()
        load_s = WARM_LOAD_S if name in self.known else STORE_LOAD_S
        loop.call_later(load_s, self._finish_load, name)
        return 202

    def _finish_load(self, name: str) -> None:
        self.adapters[name] = self.pending.pop(name)
        self.known.add(name)
        self._snap()

    def _unload(self, name: str) -> int:
        self.sequence += 1
        if self.running.get(name):
            self.leaving.add(name)
            return 202
        self.adapters.pop(name, None)
        return 200

    # Requests.

    def _refuse(self, request: http_peer.Request, status: int) -> bytes:
        headers = {"X-Not-Executed": "1", "X-Instance-Id": self.identity}
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
        return http_peer.make_response(status, headers=headers)

    async def _run(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        identity = request.headers["x-request-id"]
        name = request.headers.get("x-model", "").partition("/")[2]
        version = request.headers.get("x-expect-version")
        held = self.adapters.get(name)
        if held is None or version not in (None, str(held)):
            self.record(f"{self.identity}: 421 to {identity} for {name}")
            writer.write(self._refuse(request, 421))
            return
        self.runs.append(identity)
        self.running[name] = self.running.get(name, 0) + 1
        try:
            await self._stream(request, writer)
        finally:
            self._end_run(name)

    def _end_run(self, name: str) -> None:
        self.running[name] -= 1
        if not self.running[name] and name in self.leaving:
            self.leaving.discard(name)
            self.adapters.pop(name, None)
        self._snap()

    async def _stream(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Request-Id: {request.headers['x-request-id']}",
            f"X-Server-Signature: {self.identity}.sig",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


def _describe(order: dict) -> str:
    return (
        f"{order.get('operation')} {order.get('adapter')}"
        f" (holder {order.get('holder')}, fence {order.get('fence')},"
        f" expected {order.get('expected')})"
    )
