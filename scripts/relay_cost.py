"""Measures the processor time of one relayed chunk in each process.

Engine stand-ins stream chunks to callers at a given rate. The chunks pass
through one daemon that is both owner and entry VM, or through two daemons.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import contextlib
import json
import pathlib
import pstats
import signal
import sys
import tempfile

import anyio
import attrs
import processes

TESTS = pathlib.Path(__file__).parent.parent / "tests"
sys.path.insert(0, str(TESTS))

from standins import site as sites  # noqa: E402

ENGINES = 4
WARM_UP_S = 3.0
TOKENS_PER_S = 50
PROFILE_LINES = 28
MODEL = "trust-1@1"


@attrs.define
class Counter:
    """Counts of what the callers received.

    :param complete: streams that arrived complete
    """

    chunks: int = 0
    complete: int = 0


async def read_stream(address: str, tokens: int, counter: Counter) -> None:
    """Send a streamed request and count the chunks of its answer."""
    fields = {"model": MODEL, "stream": True, "max_tokens": tokens}
    body = json.dumps(fields).encode()
    host, _, port = address.rpartition(":")
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    received = 0
    tail = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(head.encode() + body)
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                data = await stream.receive()
                # An event may be split between two reads.
                joined = tail + data
                found = joined.count(b"data: {")
                received += found
                counter.chunks += found
                last = joined.rfind(b"data: {")
                tail = joined[last + 7 :] if found else joined[-1024:]
    counter.complete += received == tokens and b"[DONE]" in tail


@contextlib.contextmanager
def run_measured_site(
    folder: pathlib.Path, streams: int, profile: bool
) -> Iterator[sites.Site]:
    """Run a site in which vm-0 owns every engine and vm-1 owns none."""
    with sites.run_site(
        folder,
        vms=2,
        engines=ENGINES,
        services=0,
        endpoint_zones=(sites.ZONES[0],),
        token_ms=1000 / TOKENS_PER_S,
        slots=streams,
        profile=profile,
    ) as site:
        sites.publish_samples(site)
        site.wait(site.is_settled)
        site.wait(lambda: site.is_serving("vm-1"))
        yield site


async def measure(
    site: sites.Site, entry: str, streams: int, window_s: float
) -> Counter:
    """Stream through an entry VM and print the cost per process.

    :param window_s: length of the measurement
    """
    counter = Counter()
    tokens = int(TOKENS_PER_S * (window_s + 2 * WARM_UP_S))
    address = site.vms[entry].callers
    pids = {name: vm.process.pid for name, vm in site.vms.items()}
    async with anyio.create_task_group() as group:
        for _ in range(streams):
            group.start_soon(read_stream, address, tokens, counter)
        await anyio.sleep(WARM_UP_S)
        before = {
            name: processes.read_cpu_s(pid) for name, pid in pids.items()
        }
        chunks = counter.chunks
        started_s = anyio.current_time()
        await anyio.sleep(window_s)
        elapsed_s = anyio.current_time() - started_s
        chunks = counter.chunks - chunks
        used = {
            name: processes.read_cpu_s(pid) - before[name]
            for name, pid in pids.items()
        }
    path = "owner = entry" if entry == "vm-0" else "owner -> entry"
    costs = ", ".join(
        f"{name} {used_s / max(1, chunks) * 1e6:.1f} us"
        f" ({used_s / elapsed_s:.0%} of a core)"
        for name, used_s in used.items()
    )
    print(f"{path}: {chunks / elapsed_s:.0f} chunks/s; {costs}", flush=True)
    if counter.complete != streams:
        print(
            f"  INCOMPLETE: {counter.complete} of {streams} streams complete"
        )
    return counter


def print_profile(site: sites.Site) -> None:
    """Stop the daemons and print the profile of each."""
    for vm in site.vms.values():
        vm.process.send_signal(signal.SIGTERM)
        vm.process.wait(sites.STOP_TIMEOUT_S)
        print(f"== {vm.name}")
        stats = pstats.Stats(str(site.folder / f"{vm.name}.profile"))
        stats.strip_dirs().sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> int:
    """Run the measurements and return 0 if every stream was complete."""
    sites.exit_on_signals()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=160)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--entry", choices=("vm-0", "vm-1"), default=None)
    arguments = parser.parse_args()
    entries = [arguments.entry] if arguments.entry else ["vm-0", "vm-1"]
    complete = True
    with tempfile.TemporaryDirectory() as folder:
        with run_measured_site(
            pathlib.Path(folder), arguments.streams, arguments.profile
        ) as site:
            site.send(MODEL)
            for entry in entries:
                counter = anyio.run(
                    measure,
                    site,
                    entry,
                    arguments.streams,
                    arguments.seconds,
                )
                complete = complete and counter.complete == arguments.streams
            if arguments.profile:
                print_profile(site)
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main())
