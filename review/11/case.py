"""The store comes back from an older copy, then an entry VM is added."""

from __future__ import annotations

import asyncio
import pathlib
import time

import small_site

from standins import rawhttp

# Tenant `t`: about the largest rate for which the sheet's slack is stated.
RATE_PER_S = 67_000
BURST = 67_000
# Bounds of the sheet of `hid-konyv-grown`.
QUOTA_WINDOW_S = 8
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 110_000
BOUND = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (
    1 + QUOTA_OVERSHOOT
) + QUOTA_SLACK
# Tokens in and out of each request, and requests a second at each VM.
USAGE = (1_500, 500)
REQUESTS_PER_S = 60
LOAD_S = 12
# The drill: the store is away for a second, and its copy is 5 s old.
DRILL_AT_S = 3.5
DRILL_S = 1.0
# A VM is added at this time.
ADDED_AT_S = 13.0
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "sale",
            "hostname": "h",
            "path_prefix": "/sale/",
            "route_kind": "unsafe",
            "timeout_ms": 1_000,
            "aim_ms": 344,
            "priority": 0,
            "service": "pult",
            "max_attempts": 1,
        }
    ],
    "services": [{"name": "pult", "health_path": "/h", "max_conns": 400}],
    "limits": small_site.LIMITS,
    "tenants": [
        {
            "name": "t",
            "api_keys": ["key-of-t"],
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
            "unit": "tokens",
            "plain_tokens": 200,
        }
    ],
}


async def drill(site: small_site.Site, old: dict[str, list[bytes]]) -> None:
    """Take the store away, and bring it back as it was some seconds ago."""
    topics = ("keyed.op", "keyed.servers")
    site.record.write("the store is away")
    site.log.failing = 503
    await asyncio.sleep(DRILL_S)
    written = {topic: site.log.list_newest(topic) for topic in topics}
    site.log.restore(old)
    site.log.failing = None
    for topic, records in written.items():
        site.log.write_again(topic, records)
    site.record.write("the store is back from a copy")


async def play(
    site: small_site.Site, record: small_site.Record, has_trouble: bool
) -> bool:
    runs: list[tuple[float, int]] = []

    async def run(call: rawhttp.Received, writer: asyncio.StreamWriter):
        identity = call.headers["x-request-id"]
        tokens = sum(map(int, call.headers["x-token-usage"].split(",")))
        runs.append((time.monotonic(), tokens))
        record.write(f"run {identity} {call.headers.get('x-tenant')} {tokens}")
        echo = {"X-Request-Id": identity, "X-Server-Signature": "s"}
        writer.write(rawhttp.make_answer(200, b"whole", echo))

    async def send(vm: small_site.Vm, identity: str) -> None:
        headers = {
            "X-Request-Id": identity,
            "X-Deadline-Ms": "1000",
            "X-Key": "key-of-t",
            "X-Token-Usage": "%d,%d" % USAGE,
        }
        answer = await small_site.request(vm.front, "POST", "/sale/1", headers)
        record.write(f"answer {identity} {answer.status}")

    async def load(vm: small_site.Vm) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(REQUESTS_PER_S * LOAD_S):
                group.create_task(send(vm, f"{vm.name}-{number}"))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    site.log.era = 1
    await site.start(CONFIGURATION)
    for identity in ("p1", "p2", "p3", "p4"):
        await site.add_server(identity, "pult", run)
    await asyncio.sleep(0.5)
    old = site.log.copy()
    started_at = time.monotonic()
    first = await site.start_vm("vm-1")
    await first.await_ready()
    await asyncio.sleep(started_at + DRILL_AT_S - time.monotonic())
    if has_trouble:
        await drill(site, old)
    await asyncio.sleep(started_at + ADDED_AT_S - time.monotonic())
    second = await site.start_vm("vm-2")
    await second.await_ready()
    record.write("vm-2 is ready")
    await asyncio.gather(load(first), load(second))
    most = max(
        sum(tokens for at, tokens in runs if 0 <= at - start < QUOTA_WINDOW_S)
        for start, _ in runs
    )
    for vm in site.vms:
        for event in site.list_events(vm, "quota_owned"):
            record.write(f"{vm.name} logs {event}")
    record.write(f"most tokens in {QUOTA_WINDOW_S} s: {most}, bound {BOUND}")
    return most > BOUND


small_site.run_case(pathlib.Path(__file__).parent, play)
