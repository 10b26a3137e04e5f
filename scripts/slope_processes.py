"""Measures traffic, processor time and memory of idle daemons."""

from __future__ import annotations

import pathlib
import subprocess
import tempfile
import time

import attrs
import processes
import slope_reports
import worktree  # noqa: F401

from standins import site as sites


@attrs.frozen
class Sample:
    """Resource totals of all daemons at one time."""

    cpu_s: float
    sent_bytes: int
    at_s: float


def read_sent_bytes(site: sites.Site) -> int:
    """Return the bytes that the daemons sent on connections to peers."""
    pids = {vm.process.pid for vm in site.vms.values()}
    peers = {vm.peers for vm in site.vms.values()}
    text = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    total = 0
    for line in text.splitlines():
        fields = line.split()
        if len(fields) < 5 or fields[4] not in peers:
            continue
        if not any(f"pid={pid}," in line for pid in pids):
            continue
        sent = [item for item in fields if item.startswith("bytes_sent:")]
        total += sum(int(item.partition(":")[2]) for item in sent)
    return total


def take_sample(site: sites.Site) -> Sample:
    """Return the current resource totals of the daemons."""
    return Sample(
        cpu_s=sum(
            processes.read_cpu_s(vm.process.pid) for vm in site.vms.values()
        ),
        sent_bytes=read_sent_bytes(site),
        at_s=time.monotonic(),
    )


def measure_processes(count: int, window_s: float) -> None:
    """Measure idle daemons that exchange heartbeats.

    :param count: number of daemons
    :param window_s: length of the measurement
    """
    with tempfile.TemporaryDirectory() as folder:
        with sites.run_site(
            pathlib.Path(folder), vms=count, engines=3, services=0
        ) as site:
            sites.publish_samples(site)
            site.wait(lambda: is_fully_connected(site), 60.0)
            before = take_sample(site)
            time.sleep(window_s)
            after = take_sample(site)
            memory = [
                processes.read_memory_bytes(vm.process.pid)
                for vm in site.vms.values()
            ]
    daemon_s = (after.at_s - before.at_s) * count
    slope_reports.report(
        f"{count} processes: sent to peers, each",
        (after.sent_bytes - before.sent_bytes) / daemon_s,
        "bytes/s",
    )
    slope_reports.report(
        f"{count} processes: processor time, each",
        (after.cpu_s - before.cpu_s) / daemon_s * 100,
        "% of a core",
    )
    slope_reports.report(
        f"{count} processes: memory, each",
        sum(memory) / count / 2**20,
        "MiB",
    )


def is_fully_connected(site: sites.Site) -> bool:
    """Return whether every daemon lists every other one in its membership."""
    for vm in site.vms.values():
        view = site.get_state(vm, "membership")
        if len(view["vms"]) < len(site.vms) - 1:
            return False
    return True
