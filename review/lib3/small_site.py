"""A small deployment for the cases of the third review.

The store, the servers, the operator and the consumers run in the process of
the case. The entry VMs are separate processes, started with the command of
`deploy/system.toml` and settings filled into `deploy/settings.ini`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import re
import shutil
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "target" / "deps")]

from standins import logstore  # noqa: E402
from standins import ports  # noqa: E402
from standins import rawhttp  # noqa: E402

HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
BORN_MS = 1_700_000_000_000
# Values of a small deployment: `DEPLOY.md` and the sheets in `SYSTEM.md`.
SETTINGS = {
    "contract_params.grace_period_s": "8",
    "contract_params.lease_ttl_ms": "3000",
    "contract_params.retry_ratio": "0.2",
    "contract_params.retry_slack": "54",
    "contract_params.budget_window_s": "10",
    "contract_params.ttl_max_s": "5",
    "contract_params.require_fence": "true",
    "limits.link_mbps": "1000.0",
    "limits.memory_mb": "300",
    "limits.max_fds": "4100",
    "region": "r",
    "zone": "z",
}
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()


class Vm:
    """A running entry VM with an address for each of its listeners."""

    def __init__(self, name: str) -> None:
        self.name = name
        held = [ports.hold_port(HOST) for _ in range(6)]
        self.front, self.readiness, self.control = held[:3]
        self.directory, self.metrics, self.peers = held[3:]
        self.process: asyncio.subprocess.Process | None = None

    async def is_ready(self) -> bool:
        """Return whether the VM answers its readiness check with 200."""
        with contextlib.suppress(OSError):
            answer = await request(self.readiness, "GET", "/api/ready", {})
            return answer.status == 200
        return False

    async def await_ready(self) -> None:
        async with asyncio.timeout(15):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class Site:
    """A store, servers and entry VMs."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bronzetrack-"))
        self.log = logstore.LogStore()
        self.store = ""
        self.vms: list[Vm] = []
        self._entries: dict[str, dict] = {}
        self._servers: list[rawhttp.RawServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, configuration: dict) -> None:
        """Start the store and write the configuration."""
        server = rawhttp.RawServer(self.log.handle)
        self._servers.append(server)
        self.store = await server.start()
        self.log.put_json("keyed.op", "config", configuration)
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def add_server(
        self,
        identity: str,
        service: str,
        handle: rawhttp.Handler,
        **fields: object,
    ) -> None:
        """Start a server, which announces itself from now on."""
        server = rawhttp.RawServer(handle)
        self._servers.append(server)
        address = await server.start()
        self._entries[identity] = {
            "service": service,
            "address": address,
            "zone": "z",
            "version": "v1",
            "capacity": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": BORN_MS,
            "models": [],
        } | fields
        self.announce()

    def announce(self) -> None:
        """Write the entries of all servers."""
        for identity, entry in self._entries.items():
            entry["sequence"] += 1
            self.log.put_json("keyed.servers", identity, entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.log.failing is None:
                self.announce()

    async def start_vm(self, name: str, more_settings: str = "") -> Vm:
        """Start an entry VM as `deploy/system.toml` says.

        :param more_settings: sections to add to the settings file
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        vm = Vm(name)
        settings = self.folder / f"{name}.ini"
        text = self._fill_in(ROOT / role["template"], vm)
        settings.write_text(text + more_settings)
        with (self.folder / f"{name}.log").open("wb") as output:
            vm.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.folder),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BRONZETRACK_SETTINGS": str(settings),
                },
                stdout=output,
                stderr=output,
            )
        self.vms.append(vm)
        self.record.write(f"{name} started")
        return vm

    def _fill_in(self, template: pathlib.Path, vm: Vm) -> str:
        values = SETTINGS | {
            "node_name": vm.name,
            "bind_ip": HOST,
            "listen.front": f"{HOST}:{vm.front}",
            "listen.readiness": f"{HOST}:{vm.readiness}",
            "listen.control": f"{HOST}:{vm.control}",
            "listen.directory": f"{HOST}:{vm.directory}",
            "port_range": f"{vm.peers},{vm.peers}",
            "platform.address": self.store,
        }
        text = template.read_text()
        # All VMs share one address here, so that each needs ports of its own.
        text = text.replace("{{bind_ip}}:9464", f"{HOST}:{vm.metrics}")
        return re.sub(r"{{([a-z_.]+)}}", lambda m: values[m[1]], text)

    def list_events(self, vm: Vm, event: str) -> list[dict]:
        """Return the log lines of a VM about one kind of event."""
        lines = (self.folder / f"{vm.name}.log").read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [item for item in found if item["event"] == event]

    async def stop(self) -> None:
        """End all processes that were started and remove the folder."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        for server in self._servers:
            await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """An answer as a consumer received it."""

    def __init__(self, data: bytes) -> None:
        head, _, self.rest = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        words = first.split()
        self.status = int(words[1]) if len(words) > 1 else 0
        pairs = (line.partition(":") for line in lines)
        self.headers = {
            name.lower(): value.strip() for name, _, value in pairs
        }


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    fields = {"Host": "h", "Content-Length": str(len(body))} | headers
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def request(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send a request on a new channel and read the answer to its end."""
    reader, writer = await asyncio.open_connection(HOST, port)
    fields = headers | {"Connection": "close"}
    try:
        writer.write(encode_request(method, path, fields, body))
        return Answer(await reader.read(-1))
    finally:
        writer.close()


def run_case(
    folder: pathlib.Path,
    play: Callable[[Site, Record, bool], Awaitable[bool]],
) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if it held.

    :param play: returns whether the rule was broken
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        # Stand-ins that are still busy at the end need not report it.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        record = Record(folder)
        record.write(f"trouble: {has_trouble}")
        site = Site(record)
        try:
            async with asyncio.timeout(110):
                is_broken = await play(site, record, has_trouble)
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await site.stop()
        record.write("the rule was broken" if is_broken else "the rule held")
        return BROKEN if is_broken else HELD

    sys.exit(asyncio.run(main()))
