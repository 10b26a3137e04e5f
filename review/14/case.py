"""A server stops in the middle of an event of a stream that may be resumed."""

from __future__ import annotations

import asyncio
import pathlib

import small_site

from standins import rawhttp

EVENTS = 6
# The first server of each request stops in the middle of this event.
HALF_EVENT = 4
EVENT_PAUSE_S = 0.03
REQUESTS = 10
# Route of the kind `pilot-digest` of kst-launchlog.
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "digest",
            "hostname": "h",
            "path_prefix": "/digest/",
            "route_kind": "streaming",
            "timeout_ms": 15_000,
            "aim_ms": 1_000,
            "gap_target_ms": 250,
            "priority": 0,
            "service": "scribe",
            "max_attempts": 2,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "scribe",
            "health_path": "/h",
            "max_conns": 620,
            "runtime": {
                "capacity": 128,
                "kv_capacity": 149_363,
                "models": [
                    {
                        "name": "m",
                        "weights_mb": 16_100,
                        "load_time_s": 1.3,
                        "adapters": 3_000,
                        "adapter_mb": 14,
                    }
                ],
                "weights_mb": 17_000,
                "adapter_slots": 17,
                "loads_per_s": 4.3,
            },
        }
    ],
    "limits": small_site.LIMITS,
}


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def read_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return a chunked body and whether its last chunk arrived."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return body, True
        body += data[:length]
        data = data[length + 2 :]
    return body, False


async def play(
    site: small_site.Site, record: small_site.Record, has_trouble: bool
) -> bool:
    # Requests that a server has stopped in the middle of.
    stopped: set[str] = set()

    async def handle(
        call: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        if call.target == "/api/report":
            models = b'[{"name": "m", "version": 1, "adapters": ["a1@1"]}]'
            report = b'{"models": %b, "busy": false, "sequence": 0}' % models
            writer.write(rawhttp.make_answer(200, report))
            return
        if call.target == "/api/order":
            writer.write(rawhttp.make_answer(200))
            return
        identity = call.headers["x-request-id"]
        last = int(call.headers.get("last-event-id", 0))
        server = call.headers["x-expect-instance"]
        record.write(f"run {identity} at {server} after event {last}")
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Request-Id: {identity}",
            "X-Server-Signature: s",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(last + 1, EVENTS + 1):
            event = make_event(number)
            stops = (
                has_trouble
                and number == HALF_EVENT
                and identity not in stopped
            )
            if stops:
                event = event[: len(event) // 2]
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
            if stops:
                stopped.add(identity)
                record.write(f"stops {identity} within event {number}")
                break
        writer.write(b"0\r\n\r\n")

    await site.start(CONFIGURATION)
    models = [{"name": "m", "version": 1, "adapters": ["a1@1"]}]
    for identity in ("e1", "e2", "e3"):
        await site.add_server(
            identity, "scribe", handle, capacity=128, models=models
        )
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    await asyncio.sleep(2.0)
    whole = b"".join(map(make_event, range(1, EVENTS + 1)))
    short = 0
    for number in range(REQUESTS):
        identity = f"digest-{number}"
        headers = {
            "X-Request-Id": identity,
            "X-Deadline-Ms": "15000",
            "X-Model": "m/a1",
            "X-Token-Usage": "646,72",
        }
        answer = await small_site.request(
            vm.front, "POST", "/digest/1", headers
        )
        body, is_complete = read_chunks(answer.rest)
        record.write(
            f"answer {identity} {answer.status}"
            f" complete: {is_complete} body: {body!r}"
        )
        if answer.status == 200 and is_complete and body != whole:
            short += 1
    record.write(f"{short} of {REQUESTS} streams end as complete too early")
    return short > 0


small_site.run_case(pathlib.Path(__file__).parent, play)
