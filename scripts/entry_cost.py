"""Measures processor time and memory of an entry VM against stand-ins.

Prints the processor time that one process spends on a short request, on a
relayed event and while idle, its resident memory, and the time from start to
ready.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile
import time

import processes

ROOT = pathlib.Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from entry import sites  # noqa: E402

from standins import wireengine  # noqa: E402

SHORT_REQUESTS = 1_000
STREAMS = 40
EVENTS_PER_STREAM = 200
IDLE_S = 10.0


async def measure(folder: pathlib.Path) -> None:
    """Run the measurements and print their results."""
    site = sites.Site(folder)
    await site.start_store()
    await site.add_endpoint("e1", "engines")
    await site.add_endpoint("p1", "plain")
    site.configure()
    started = time.monotonic()
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    print(f"start to ready: {time.monotonic() - started:.2f} s")
    pid = vm.process.pid
    await asyncio.sleep(2)
    before = processes.read_cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    idle = (processes.read_cpu_s(pid) - before) / IDLE_S
    print(f"idle: {100 * idle:.2f}% of a core")
    before, at = processes.read_cpu_s(pid), time.monotonic()
    for number in range(SHORT_REQUESTS):
        await sites.send(vm.front, "/once/x", f"r{number}", body=b"x" * 600)
    used = processes.read_cpu_s(pid) - before - idle * (time.monotonic() - at)
    print(
        f"short request, new connection: {1e6 * used / SHORT_REQUESTS:.0f} us"
    )
    wireengine.EVENTS_PER_STREAM = EVENTS_PER_STREAM
    headers = {"X-Model": "m/a1"}
    await sites.send(vm.front, "/stream/x", "warm", headers=headers)
    before, at = processes.read_cpu_s(pid), time.monotonic()
    await asyncio.gather(
        *(
            sites.send(vm.front, "/stream/x", f"s{number}", headers=headers)
            for number in range(STREAMS)
        )
    )
    used = processes.read_cpu_s(pid) - before - idle * (time.monotonic() - at)
    print(
        f"relayed event: {1e6 * used / (STREAMS * EVENTS_PER_STREAM):.0f} us"
    )
    memory_mb = processes.read_memory_bytes(pid) / 1e6
    print(f"resident memory: {memory_mb:.1f} MB")
    await site.stop()


def main() -> None:
    """Run the measurements in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(pathlib.Path(folder)))


if __name__ == "__main__":
    main()
