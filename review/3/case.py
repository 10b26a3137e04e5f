"""A server crashes within the first event of streams that may be resumed."""

from __future__ import annotations

import asyncio
import contextlib
import re

import configurations
import deployment
import http_peer

EVENTS = 8
EVENT_PAUSE_S = 0.05
# A server needs this long from the head of a response to its first event.
FIRST_EVENT_S = 0.3
STREAMS = 24
SERVERS = 4


class StreamServer:
    """Sound server of streams whose event ids count from 0."""

    def __init__(self, site: deployment.Deployment, identity: str) -> None:
        self._site = site
        self.identity = identity
        self.server = http_peer.Server(self.handle)
        self.starting: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """End at once; streams that start break off within an event."""
        self._site.record(f"{self.identity}: crashes")
        for writer in self.starting:
            half = make_event(0)[:6]
            writer.write(b"%x\r\n%b\r\n" % (len(half), half))
        self.server.crash()

    async def handle(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, from the event after the one that it names."""
        headers = request.headers
        identity = headers["x-request-id"]
        last = headers.get("last-event-id")
        self._site.record(
            f"{self.identity}: runs {identity}, Last-Event-Id: {last}"
        )
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Request-Id: {identity}",
            f"X-Server-Signature: {self.identity}.sig",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = 0 if last is None else int(last) + 1
        self.starting.add(writer)
        await asyncio.sleep(FIRST_EVENT_S)
        self.starting.discard(writer)
        for number in range(first, EVENTS):
            event = make_event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")


def make_event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def consume(
    site: deployment.Deployment, vm: deployment.Vm, number: int
) -> bool:
    """Send one request; return whether its stream keeps the rule."""
    channel = http_peer.Channel()
    await channel.connect(vm.host, vm.front)
    identity = f"stream-{number}"
    headers = {
        "Host": deployment.HOST,
        "X-Request-Id": identity,
        "X-Deadline-Ms": "8000",
    }
    response = await channel.request("POST", "/digest/x", headers, b"prompt")
    channel.close()
    pieces = [int(item) for item in re.findall(rb"piece (\d+)", response.body)]
    site.record(
        f"consumer: {identity} got status {response.status},"
        f" pieces {pieces}, complete: {response.whole} {response.error}"
    )
    in_order = pieces == list(range(len(pieces)))
    return in_order and (not response.whole or len(pieces) == EVENTS)


async def run(site: deployment.Deployment) -> int:
    """Let one of four servers crash while streams start."""
    servers = [StreamServer(site, f"i-{number}") for number in range(SERVERS)]
    route = configurations.make_route(
        "digest",
        "streaming",
        "ledger",
        max_attempts=2,
        aim_ms=1000,
        gap_target_ms=250,
        resumable=True,
    )
    await site.start_store(
        configurations.make_configuration([route], [configurations.PLAIN])
    )
    for server in servers:
        address = await server.server.start()
        entry = configurations.make_entry("ledger", address)
        site.store.put_json("keyed.servers", server.identity, entry)
    vm = await site.start_vm(1)
    await site.await_ready(vm)
    await asyncio.sleep(deployment.CONTACT_S + 0.5)
    # These requests count for the budget of retries.
    await asyncio.gather(
        *(consume(site, vm, number) for number in range(STREAMS))
    )
    consumers = [
        asyncio.create_task(consume(site, vm, STREAMS + number))
        for number in range(STREAMS)
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(2):
            while not any(server.starting for server in servers):
                await asyncio.sleep(0.01)
    await asyncio.sleep(FIRST_EVENT_S / 2)
    if deployment.has_trouble():
        max(servers, key=lambda item: len(item.starting)).crash()
    kept = await asyncio.gather(*consumers)
    site.record(f"streams that keep the rule: {sum(kept)} of {len(kept)}")
    return deployment.HELD if all(kept) else deployment.BROKEN


if __name__ == "__main__":
    deployment.run_case(__file__, run)
