"""Small deployment for the scripts of a review.

Entry VMs run as separate processes, with the command and the settings template
of the deploy file. The store, the endpoints and the callers are stand-ins in
the process of the script, on loopback addresses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import logging
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
import traceback

import attrs

from standins import logstore
from standins import ports
from standins import rawhttp

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "bronzetrack.entry")
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Longest time of a script, which leaves some of the allowed 120 s for the end.
LIMIT_S = 105.0
READY_LIMIT_S = 15.0
ANSWER_LIMIT_S = 12.0
# Bounds of the small deployments, by their names in the settings template.
BOUNDS = {
    "grace_period_s": "8",
    "lease_ttl_ms": "3000",
    "retry_ratio": "0.2",
    "retry_slack": "54",
    "budget_window_s": "10",
    "ttl_max_s": "5",
    "require_fence": "true",
}
LIMITS = {"link_mbps": "1000.0", "memory_mb": "300", "max_fds": "4100"}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


class NotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


def has_trouble() -> bool:
    """Return whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@attrs.define
class Record:
    """Record of what was sent, answered and run.

    :param file: text file of the record
    """

    file: pathlib.Path
    _lines: list[str] = attrs.field(factory=list)
    _started_at: float = attrs.field(factory=time.monotonic)

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._lines.append(f"{elapsed_s:8.3f}  {text}")

    def save(self) -> None:
        """Write the lines to the file."""
        self.file.write_text("\n".join(self._lines) + "\n")


@attrs.define
class Answer:
    """Answer as a caller received it.

    :param status: 0 if no head arrived
    :param headers: all headers in order, names in lower case
    :param whole: whether the framing shows that the answer is complete
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool

    def find(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((v for key, v in self.headers if key == name), None)


@attrs.define
class Vm:
    """An entry VM.

    :param front: port for callers
    :param control: port of the readiness checks
    """

    name: str
    front: int
    control: int
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process unless it has ended."""
        if self.is_running:
            os.kill(self.process.pid, number)


@attrs.define
class Deployment:
    """A store, endpoints and entry VMs.

    :param folder: temporary folder of the settings files and logs
    """

    record: Record
    folder: pathlib.Path
    log: logstore.LogStore = attrs.field(factory=logstore.LogStore)
    store: str = ""
    servers: list[rawhttp.RawServer] = attrs.field(factory=list)
    vms: list[Vm] = attrs.field(factory=list)

    async def start_store(self) -> None:
        """Start the store."""
        server = rawhttp.RawServer(self.log.handle)
        self.servers.append(server)
        self.store = await server.start()

    async def add_endpoint(
        self, identity: str, service: str, handle: rawhttp.Handler
    ) -> str:
        """Start an endpoint and write its entry; return its address."""
        server = rawhttp.RawServer(handle)
        self.servers.append(server)
        address = await server.start()
        self.announce(identity, service, address)
        return address

    def announce(
        self, identity: str, service: str, address: str, **fields: object
    ) -> None:
        """Write the entry of an endpoint."""
        entry = {
            "service": service,
            "address": address,
            "zone": "z",
            "version": "v1",
            "capacity": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self.log.put_json("keyed.servers", identity, entry | fields)

    def configure(self, document: dict[str, object]) -> None:
        """Write a configuration, which the store confirms at once."""
        self.log.put_json("keyed.op", "config", document)
        self.record.add(f"configuration {document['version']} confirmed")

    def add_vm(self, name: str) -> Vm:
        """Write the settings file of a VM, without a start of its process."""
        front, control, peers, metrics = (
            ports.hold_port(HOST) for _ in range(4)
        )
        file = self.folder / f"{name}.ini"
        vm = Vm(name, front, control, file)
        file.write_text(
            _fill_template(
                {
                    "node_name": name,
                    "zone": "z",
                    "region": "r",
                    "bind_ip": HOST,
                    "port_range": f"{peers},{peers}",
                    "platform.address": self.store,
                    "listen.front": f"{HOST}:{front}",
                    **{
                        f"listen.{key}": f"{HOST}:{control}"
                        for key in ("readiness", "directory", "control")
                    },
                }
            ).replace(f"{HOST}:9464", f"{HOST}:{metrics}")
        )
        self.vms.append(vm)
        return vm

    async def start(self, vm: Vm) -> None:
        """Start the process of a VM as the deploy file does."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "BRONZETRACK_SETTINGS": str(vm.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{vm.name}.log").open("ab") as output:
            vm.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record.add(f"{vm.name} started")

    async def start_ready(self, vm: Vm) -> None:
        """Start the process of a VM and wait until it is ready."""
        await self.start(vm)
        await self.await_ready(vm)

    async def await_ready(self, vm: Vm) -> None:
        """Wait until a VM answers that it is ready."""
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                answer = await send(vm.control, "GET", "/api/ready", {})
                if answer.status == 200:
                    self.record.add(f"{vm.name} ready")
                    return
            if not vm.is_running:
                break
            await asyncio.sleep(0.05)
        raise NotRunError(f"{vm.name} did not become ready")

    async def stop(self) -> None:
        """End all processes and servers of the deployment."""
        for vm in self.vms:
            vm.send_signal(signal.SIGKILL)
            if vm.process is not None:
                await vm.process.wait()
        for server in self.servers:
            server.crash()
        # Lets the handlers of the closed connections end.
        await asyncio.sleep(0.05)


def _fill_template(values: dict[str, str]) -> str:
    """Return the settings template of the deploy file, filled in."""
    values = (
        values
        | {f"contract_params.{name}": text for name, text in BOUNDS.items()}
        | {f"limits.{name}": text for name, text in LIMITS.items()}
    )
    template = (ROOT / "deploy" / "settings.ini").read_text()
    return PLACEHOLDER.sub(lambda match: values[match[1]], template)


async def send(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    limit_s: float = ANSWER_LIMIT_S,
) -> Answer:
    """Send a request on a new connection and read the answer to its end."""
    reader, writer = await asyncio.open_connection(HOST, port)
    fields = {"Host": "h", "Connection": "close"} | headers
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    data = bytearray()
    try:
        async with asyncio.timeout(limit_s):
            while part := await reader.read(65_536):
                data += part
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
    return _parse_answer(bytes(data))


def _parse_answer(data: bytes) -> Answer:
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Answer(0, [], b"", False)
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = [(name.lower(), value.strip()) for name, _, value in pairs]
    answer = Answer(int(first.split()[1]), headers, rest, False)
    if answer.find("transfer-encoding") == "chunked":
        answer.body, answer.whole = _join_chunks(rest)
    else:
        length = answer.find("content-length")
        answer.whole = length is not None and len(rest) == int(length)
    return answer


def _join_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the content of chunks, and whether the last one arrived."""
    parts = []
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return b"".join(parts), False
        size = int(line, 16)
        if not size:
            return b"".join(parts), True
        parts.append(data[:size])
        data = data[size + 2 :]


_numbers = itertools.count(1)


def make_id() -> str:
    """Return a request id that was not used before."""
    return f"{next(_numbers):016x}"


def run(
    folder: pathlib.Path,
    play: Callable[[Deployment], Awaitable[list[str]]],
) -> None:
    """Play a case and exit with the code that states its result.

    :param folder: folder of the case, which gets the record
    :param play: plays the case and returns what broke the rule
    """
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder / "record.txt")
    record.add(f"trouble {'on' if has_trouble() else 'off'}")
    code = asyncio.run(_run(record, play))
    record.add(f"exit code {code}")
    record.save()
    sys.exit(code)


async def _run(
    record: Record, play: Callable[[Deployment], Awaitable[list[str]]]
) -> int:
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        deployment = Deployment(record, pathlib.Path(name))
        try:
            async with asyncio.timeout(LIMIT_S):
                asyncio.get_running_loop().set_exception_handler(
                    lambda *_: None
                )
                await deployment.start_store()
                found = await play(deployment)
        except Exception:
            for line in traceback.format_exc().splitlines():
                record.add(line)
            return NOT_RUN
        finally:
            await deployment.stop()
    for line in found:
        record.add(f"BROKEN: {line}")
    return BROKEN if found else HELD


def dump(document: object) -> str:
    """Return a document on one line."""
    return json.dumps(document, separators=(",", ":"))
