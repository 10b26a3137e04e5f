"""A small deployment: the store's stand-in and entry VMs as processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

import http_peer
import log_store

ROOT = pathlib.Path(__file__).parents[2]
HOST = "h.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The time after an impairment or a start from which rules with a bound hold.
CONTACT_S = 3.0
LONGEST_RUN_S = 115.0
# The bounds of a small deployment, as in the sheets of the users' sites.
BOUNDS = {
    "contract_params.grace_period_s": "8",
    "contract_params.lease_ttl_ms": "3000",
    "contract_params.retry_ratio": "0.2",
    "contract_params.retry_slack": "54",
    "contract_params.budget_window_s": "10",
    "contract_params.ttl_max_s": "5",
    "contract_params.require_fence": "true",
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free at an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Vm:
    """An entry VM at a loopback address of its own.

    :param number: number of the VM, from which its address follows
    """

    def __init__(self, number: int) -> None:
        self.name = f"edge-{number}"
        self.host = f"127.0.0.{10 + number}"
        self.ports = {
            name: find_port(self.host)
            for name in ("front", "readiness", "control", "directory")
        }
        self.metrics_port = find_port(self.host)
        self.peer_port = find_port(self.host, socket.SOCK_DGRAM)
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> int:
        """Port for consumers."""
        return self.ports["front"]


class Deployment:
    """The processes, the store and the record of one run of a case.

    :param folder: folder of the case, where `record.txt` is written
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.store = log_store.LogStore()
        self.vms: list[Vm] = []
        self.started_at = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._scratch = tempfile.TemporaryDirectory()
        self._store_address = ""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (self._role,) = deploy["roles"].values()

    def record(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        elapsed_s = time.monotonic() - self.started_at
        for folder in (ROOT, pathlib.Path(os.__file__).parent):
            text = text.replace(f"{folder}/", "")
        self._record.write(f"{elapsed_s:8.3f} {text}\n")
        self._record.flush()

    async def start_store(self, configuration: dict) -> None:
        """Start the store and publish the first configuration."""
        self._store_address = await self.store.start()
        self.store.put_json("keyed.op", "config", configuration)

    def write_settings(self, vm: Vm) -> pathlib.Path:
        """Fill in the settings template of the deploy file for a VM."""
        values = BOUNDS | {
            "node_name": vm.name,
            "zone": "zone-a",
            "region": "region",
            "bind_ip": vm.host,
            "port_range": f"{vm.peer_port},{vm.peer_port + 15}",
            "platform.address": self._store_address,
        }
        for name, port in vm.ports.items():
            values[f"listen.{name}"] = f"{vm.host}:{port}"
        text = (ROOT / self._role["template"]).read_text()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        # The port of the metrics is fixed; a free one is taken here.
        text = text.replace(":9464", f":{vm.metrics_port}")
        file = pathlib.Path(self._scratch.name) / f"{vm.name}.ini"
        file.write_text(text)
        return file

    async def start_vm(self, number: int) -> Vm:
        """Start an entry VM with the command of the deploy file."""
        vm = Vm(number)
        self.vms.append(vm)
        await self.run_vm(vm)
        return vm

    async def run_vm(self, vm: Vm) -> None:
        """Start the process of a VM, also after it has ended."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "BRONZETRACK_SETTINGS": str(self.write_settings(vm)),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_file(vm).open("ab") as output:
            vm.process = await asyncio.create_subprocess_exec(
                *shlex.split(self._role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record(f"{vm.name}: started, pid {vm.process.pid}")

    def log_file(self, vm: Vm) -> pathlib.Path:
        """Return the file of a VM's log."""
        return pathlib.Path(self._scratch.name) / f"{vm.name}.log"

    def read_events(self, vm: Vm) -> list[dict]:
        """Return the log lines of a VM that are JSON."""
        lines = self.log_file(vm).read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def record_events(self, vm: Vm, *names: str) -> None:
        """Copy the log lines of some events to the record."""
        for event in self.read_events(vm):
            if event.get("event") in names:
                self.record(f"{vm.name} log: {json.dumps(event)}")

    async def await_ready(self, vm: Vm) -> None:
        """Wait until a VM says that it is ready."""
        for _ in range(200):
            channel = http_peer.Channel()
            try:
                await channel.connect(vm.host, vm.ports["readiness"])
                response = await channel.request(
                    "GET", "/api/ready", {"Host": vm.host}, timeout_s=1
                )
                if response.status == 200:
                    self.record(f"{vm.name}: ready")
                    return
            except OSError:
                pass
            finally:
                channel.close()
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{vm.name} does not get ready")

    async def stop(self) -> None:
        """End all processes and close the record."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGKILL)
                await vm.process.wait()
        self._record.close()
        self._scratch.cleanup()


def run_case(file: str, case: Callable[[Deployment], Awaitable[int]]) -> None:
    """Run a case and exit with its result.

    :param file: file of the case
    :param case: returns HELD or BROKEN
    """

    async def run() -> int:
        deployment = Deployment(pathlib.Path(file).parent)
        try:
            async with asyncio.timeout(LONGEST_RUN_S):
                return await case(deployment)
        except Exception as error:
            deployment.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await deployment.stop()

    sys.exit(asyncio.run(run()))
