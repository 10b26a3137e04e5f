"""Test deployment with a store, engines, a plain service and entry VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import copy
import json
import os
import pathlib
import signal
import sys

import attrs

from standins import logstore
from standins import ports
from standins import rawhttp
from standins import wireengine

HOST = "127.0.0.1"
SOURCE = pathlib.Path(__file__).parents[2] / "src"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "stream",
            "hostname": "h",
            "path_prefix": "/stream/",
            "route_kind": "streaming",
            "timeout_ms": 5000,
            "aim_ms": 500,
            "priority": 0,
            "service": "engines",
            "max_attempts": 1,
            "resumable": False,
            "gap_target_ms": 250,
        },
        {
            "name": "resumable",
            "hostname": "h",
            "path_prefix": "/resumable/",
            "route_kind": "streaming",
            "timeout_ms": 5000,
            "aim_ms": 500,
            "priority": 0,
            "service": "engines",
            "max_attempts": 2,
            "resumable": True,
            "gap_target_ms": 250,
        },
        {
            "name": "once",
            "hostname": "h",
            "path_prefix": "/once/",
            "route_kind": "unsafe",
            "timeout_ms": 1000,
            "aim_ms": 100,
            "priority": 0,
            "service": "plain",
            "max_attempts": 1,
        },
        {
            "name": "safe",
            "hostname": "h",
            "path_prefix": "/safe/",
            "route_kind": "safe",
            "timeout_ms": 1000,
            "aim_ms": 100,
            "priority": 0,
            "service": "plain",
            "max_attempts": 2,
        },
    ],
    "services": [
        {"name": "plain", "health_path": "/h", "max_conns": 50},
        {
            "name": "engines",
            "health_path": "/h",
            "max_conns": 50,
            "runtime": {
                "capacity": 8,
                "kv_capacity": 1000,
                "models": [
                    {
                        "name": "m",
                        "weights_mb": 100,
                        "load_time_s": 0.1,
                        "adapters": 9,
                        "adapter_mb": 1,
                    }
                ],
                "weights_mb": 200,
                "adapter_slots": 2,
                "loads_per_s": 4,
            },
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
# Report of an engine that holds the base model and no adapter.
REPORT = (
    b'{"models": [{"name": "m", "version": 1, "adapters": []}],'
    b' "busy": false, "sequence": 1, "pending": []}'
)
SETTINGS = """\
[vm]
name = {name}
availability_zone = z
region = r
[listen]
callers = 127.0.0.1:{front}
readiness = 127.0.0.1:{control}
directory = 127.0.0.1:{control}
operators = 127.0.0.1:{control}
metrics = 127.0.0.1:{control}
[peers]
ip = 127.0.0.1
ports = {peers},{peers}
[store]
address = {store}
[limits]
grace_s = 3
lease_ms = 900
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
entry_ttl_s = 5
engines_check_tokens = true
"""


def make_full(timeout_ms: int) -> Callable[[dict], None]:
    """Return a change of the configuration that lets requests wait long.

    Endpoints of the plain service accept one connection.

    :param timeout_ms: timeout of all routes
    """

    def alter(document: dict) -> None:
        document["services"][0]["max_conns"] = 1
        for route in document["routes"]:
            route["timeout_ms"] = timeout_ms

    return alter


def make_settings(
    name: str = "vm-1",
    front: int = 1,
    control: int = 2,
    peers: int = 3,
    store: str = "127.0.0.1:4",
) -> str:
    """Return the text of a valid settings file.

    :param name: name of the VM
    :param front: port for callers
    :param control: port of all other HTTP listeners
    :param peers: UDP port for the other VMs
    :param store: address of the store
    """
    return SETTINGS.format(
        name=name, front=front, control=control, peers=peers, store=store
    )


@attrs.define
class Answer:
    """An answer as received by a caller.

    :param headers: values by name in lower case
    :param whole: whether the framing shows that the answer is complete
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def send(
    port: int,
    path: str,
    identity: str,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    caller: str = HOST,
) -> Answer:
    """Send a request on a new connection and read the answer to its end.

    :param port: port for callers of an entry VM
    :param identity: request id
    :param headers: headers to add or replace
    :param caller: loopback address to connect from
    """
    # An address that is bound before the connection takes a port of its own
    # from all tests of the machine, which ran out of them.
    local_addr = None if caller == HOST else (caller, 0)
    reader, writer = await asyncio.open_connection(
        HOST, port, local_addr=local_addr
    )
    fields = {
        "Host": "h",
        "Connection": "close",
        "X-Request-Id": identity,
        "X-Deadline-Ms": "4000",
        "Content-Length": str(len(body)),
    }
    fields |= headers or {}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    # Adding parts to `bytes` copies all earlier ones. Long answers so took
    # seconds of the loop, which also serves the store and the endpoints.
    data = bytearray()
    try:
        async with asyncio.timeout(6):
            while part := await reader.read(65_536):
                data += part
    except ConnectionError:
        pass
    writer.close()
    return parse_answer(data)


def parse_answer(data: bytes | bytearray) -> Answer:
    """Parse an answer and determine whether it is complete.

    The time is proportional to the length of the answer.

    :param data: all bytes received on the connection
    """
    head_end = data.find(b"\r\n\r\n")
    head_end = len(data) if head_end < 0 else head_end
    if not head_end:
        return Answer(0, {}, b"", False)
    first, *lines = data[:head_end].decode("latin-1").split("\r\n")
    start = head_end + 4
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    status = int(first.split()[1])
    if headers.get("transfer-encoding") != "chunked":
        body = bytes(data[start:])
        whole = len(body) == int(headers.get("content-length", 0))
        return Answer(status, headers, body, whole)
    chunks = []
    while start < len(data):
        size_end = data.find(b"\r\n", start)
        size_end = len(data) if size_end < 0 else size_end
        size = int(data[start:size_end], 16)
        if size == 0:
            return Answer(status, headers, b"".join(chunks), True)
        start = size_end + 2 + size + 2
        chunks.append(data[size_end + 2 : start - 2])
    return Answer(status, headers, b"".join(chunks), False)


@attrs.define
class Vm:
    """A running entry VM.

    :param front: port for callers
    :param control: port of all other HTTP listeners
    """

    front: int
    control: int
    process: asyncio.subprocess.Process

    async def get(self, path: str) -> Answer:
        """Send a GET request to the control port."""
        return await send(self.control, path, "", method="GET")

    async def await_listening(self) -> None:
        """Wait until the VM accepts connections, even if it is not ready."""
        await self._await_status(200, 503)

    async def await_ready(self) -> None:
        """Wait until the VM is ready for requests."""
        await self._await_status(200)

    async def _await_status(self, *expected: int) -> None:
        async with asyncio.timeout(10):
            while True:
                try:
                    if (await self.get("/api/ready")).status in expected:
                        return
                except ConnectionError:
                    pass
                await asyncio.sleep(0.05)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process unless it has ended.

        The method of the process itself would reap a process that ends at
        that moment, and the event loop would report status 255 for it. The
        loop learns of an end some time after the process has gone.
        """
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        self.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), 10)


@attrs.define
class Site:
    """A store, endpoints and entry VMs.

    :param folder: folder of the settings files and logs of the VMs
    :param store: address of the store
    :param engines: stand-in of each endpoint, by id
    """

    folder: pathlib.Path
    log: logstore.LogStore = attrs.field(factory=logstore.LogStore)
    store: str = ""
    engines: dict[str, wireengine.WireEngine] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    servers: list[rawhttp.RawServer] = attrs.field(factory=list)
    vms: list[Vm] = attrs.field(factory=list)

    async def start_store(self) -> None:
        """Start the server of the store."""
        server = rawhttp.RawServer(self.log.handle)
        self.servers.append(server)
        self.store = await server.start()

    async def add_endpoint(
        self,
        identity: str,
        service: str,
        handle: rawhttp.Handler | None = None,
        reads_bodies: bool = True,
        **fields: object,
    ) -> wireengine.WireEngine:
        """Start an endpoint and write its entry to the store.

        :param handle: handler of all its requests, in place of the stand-in's
        :param reads_bodies: whether it reads the bodies of requests
        """
        engine = wireengine.WireEngine(identity, service, **fields)
        server = rawhttp.RawServer(handle or engine.handle, reads_bodies)
        self.servers.append(server)
        address = await server.start()
        self.engines[identity] = engine
        self.addresses[identity] = address
        self.announce(identity)
        return engine

    async def add_endpoints(self) -> None:
        """Start two engines and two endpoints of the plain service."""
        for identity, service in (
            ("e1", "engines"),
            ("e2", "engines"),
            ("p1", "plain"),
            ("p2", "plain"),
        ):
            await self.add_endpoint(identity, service)

    def announce(self, identity: str, **fields: object) -> None:
        """Write the entry of an endpoint to the store."""
        entry = self.engines[identity].describe(
            self.addresses[identity], **fields
        )
        self.log.put_json("keyed.servers", identity, entry)

    def configure(
        self,
        version: int = 3,
        model_load_s: float = 0.1,
        alter: Callable[[dict], None] | None = None,
    ) -> None:
        """Publish the configuration.

        :param model_load_s: stated load time of the base model
        :param alter: changes the document before it is published
        """
        document = copy.deepcopy(CONFIGURATION) | {"version": version}
        runtime = document["services"][1]["runtime"]
        runtime["models"][0]["load_time_s"] = model_load_s
        if alter is not None:
            alter(document)
        self.log.put_json("keyed.op", "config", document)

    async def start_vm(
        self,
        name: str,
        more_settings: str = "",
        read_from: pathlib.Path | None = None,
        store: str | None = None,
    ) -> Vm:
        """Start an entry VM as a separate process.

        :param more_settings: sections to add to the settings file
        :param read_from: where the VM reads its settings if not in that file
        :param store: address by which it reaches the store, if another one
        """
        front, control, peers = (ports.hold_port(HOST) for _ in range(3))
        file = self.folder / f"{name}.ini"
        file.write_text(
            make_settings(name, front, control, peers, store or self.store)
            + more_settings
        )
        environment = os.environ | {
            "BRONZETRACK_SETTINGS": str(read_from or file),
            "PYTHONPATH": str(SOURCE),
        }
        with (self.folder / f"{name}.log").open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bronzetrack.entry",
                env=environment,
                stdout=output,
                stderr=output,
            )
        vm = Vm(front, control, process)
        self.vms.append(vm)
        return vm

    async def stop(self) -> None:
        """Stop all processes and servers of the deployment."""
        for vm in self.vms:
            if vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        for server in self.servers:
            await server.stop()

    async def await_event(
        self, name: str, event: str, **fields: object
    ) -> None:
        """Wait until a VM has logged an event with some fields."""
        wanted = {"event": event} | fields
        async with asyncio.timeout(10):
            while not any(
                item == item | wanted for item in self.read_events(name)
            ):
                await asyncio.sleep(0.05)

    def read_events(self, name: str) -> list[dict]:
        """Return the decoded log lines of a VM."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line]
