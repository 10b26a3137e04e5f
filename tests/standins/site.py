"""Runs a small site of separate processes on loopback addresses."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import attrs
import httpcore

from standins import ports

TESTS = pathlib.Path(__file__).parent.parent
STOP_TIMEOUT_S = 20.0
LOG_LINES = 5
TIMEOUTS = ("connect", "read", "write", "pool")
ZONES = ("zone-a", "zone-b", "zone-c")


class SiteError(Exception):
    """The site failed, or did not reach an expected state in time."""


class NoAnswerError(Exception):
    """A daemon does not answer, possibly because it has not started yet."""


# Outgoing connections on loopback come from 127.0.0.1, so the listeners of a
# site use other addresses. Concurrent runs use different networks.
NETWORK = f"127.{os.getpid() % 254 + 1}"
PLATFORM_HOST = f"{NETWORK}.3.1"


@attrs.define
class Vm:
    """The process and the addresses of a daemon.

    :param callers: address of the listener for callers
    :param operators: address of the listener for operators
    :param peers: address of the listener for peers
    :param advertised: address that peers connect to, if it is not `peers`
    :param platform_url: URL of the platform, if the VM does not connect to it
        directly
    :param vm_list_url: URL of the VM list, if it is not that of the platform
    """

    name: str
    zone: str
    host: str
    callers: str
    operators: str
    peers: str
    advertised: str = ""
    platform_url: str = ""
    vm_list_url: str = ""
    process: subprocess.Popen[bytes] | None = None


@attrs.define
class EndpointProcess:
    """The process and the address of an endpoint."""

    name: str
    zone: str
    host: str
    port: int
    kind: str = "engine"
    checks_fencing: bool = False
    process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        return f"http://{self.host}:{self.port}"


@attrs.define
class Site:
    """The processes of a site, with their addresses and options.

    :param folder: folder for settings files and logs
    :param profile: whether daemons write a profile when they stop
    :param forwarded: whether connections between daemons, and from each
        daemon to the platform, pass through links of the forwarder
    :param own_lists: whether each daemon reads a separate VM list
    """

    folder: pathlib.Path
    platform_port: int
    vms: dict[str, Vm] = attrs.field(factory=dict)
    endpoints: dict[str, EndpointProcess] = attrs.field(factory=dict)
    processes: list[subprocess.Popen[bytes]] = attrs.field(factory=list)
    adapter_slots: int = 8
    token_ms: float = 5.0
    slots: int = 8
    extra_settings: str = "[limits]\nentry_ttl_s = 1\n"
    profile: bool = False
    forwarded: bool = False
    own_lists: bool = False
    forwarder_port: int = 0

    @property
    def platform_url(self) -> str:
        return f"http://{PLATFORM_HOST}:{self.platform_port}"

    def start(self, name: str, *command: str) -> subprocess.Popen[bytes]:
        """Start a Python process that logs to a file in the folder."""
        paths = os.pathsep.join([str(TESTS), str(TESTS.parent / "src")])
        environment = {**os.environ, "PYTHONPATH": paths}
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                # Modules in the current working directory could shadow
                # installed ones.
                cwd=self.folder,
                # With a session of its own, the process gets no Ctrl-C. The
                # script does and stops the processes.
                start_new_session=True,
            )
        self.processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the platform and wait until it answers."""
        self._start_standin("platform", "platform", self.platform_port)
        self.wait(lambda: fetch("GET", f"{self.platform_url}/vms") == [])

    def start_vm_list(self, name: str) -> str:
        """Start an additional VM list and return its base URL."""
        port = ports.hold_port(PLATFORM_HOST)
        self._start_standin(name, "platform", port)
        url = f"http://{PLATFORM_HOST}:{port}"
        self.wait(lambda: fetch("GET", f"{url}/vms") == [])
        return url

    def _start_standin(self, name: str, module: str, port: int) -> None:
        self.start(
            name,
            "-m",
            f"standins.{module}",
            "--host",
            PLATFORM_HOST,
            "--port",
            str(port),
        )

    def start_forwarder(self) -> None:
        """Start the forwarder and wait until it accepts connections."""
        self.forwarder_port = ports.hold_port(PLATFORM_HOST)
        self._start_standin("forwarder", "forwarder", self.forwarder_port)

        def is_listening() -> bool:
            with socket.socket() as probe:
                address = (PLATFORM_HOST, self.forwarder_port)
                return probe.connect_ex(address) == 0

        self.wait(is_listening)

    def add_link(self, name: str, target: str) -> str:
        """Add a link to a target address and return the link's address."""
        host, port = target.split(":")
        listen = (PLATFORM_HOST, ports.hold_port(PLATFORM_HOST))
        self.set_link(name, "forward", listen=listen, target=(host, int(port)))
        return f"{listen[0]}:{listen[1]}"

    def set_link(self, name: str, mode: str, **fields: Any) -> None:
        """Set the mode of a link: `forward`, `hold` or `refuse`.

        :param name: `peers-VM` for connections from peers to a VM,
            `platform-VM` for connections from a VM to the platform
        """
        url = f"http://{PLATFORM_HOST}:{self.forwarder_port}/links/{name}"
        if fetch("PUT", url, {"mode": mode, **fields}) is None:
            raise SiteError(f"the forwarder did not set {name} to {mode}")

    def start_endpoint(self, endpoint: EndpointProcess) -> None:
        """Add an endpoint to the site and start its process."""
        self.endpoints[endpoint.name] = endpoint
        command = [
            "-m",
            "standins.engine",
            "--host",
            endpoint.host,
            "--port",
            str(endpoint.port),
            "--store-url",
            self.platform_url,
            "--adapter-slots",
            str(self.adapter_slots),
            "--token-ms",
            str(self.token_ms),
        ]
        if endpoint.checks_fencing:
            command.append("--checks-fencing")
        endpoint.process = self.start(endpoint.name, *command)

    def wait_endpoints(self) -> None:
        """Wait until every endpoint answers."""
        for item in self.endpoints.values():
            self.wait(lambda: fetch("GET", f"{item.url}/load") is not None)

    def add_vm(self, name: str, zone: str, host: str) -> Vm:
        """Add a VM with free ports and its links, without starting it."""
        addresses = (f"{host}:{ports.hold_port(host)}" for _ in range(3))
        vm = Vm(name, zone, host, *addresses)
        if self.forwarded:
            vm.advertised = self.add_link(f"peers-{name}", vm.peers)
            platform = f"{PLATFORM_HOST}:{self.platform_port}"
            address = self.add_link(f"platform-{name}", platform)
            vm.platform_url = f"http://{address}"
        if self.own_lists:
            vm.vm_list_url = self.start_vm_list(f"list-{name}")
        self.vms[name] = vm
        return vm

    def write_settings(self, vm: Vm) -> pathlib.Path:
        """Write the settings file of a VM and return its path."""
        join = ", ".join(
            other.advertised or other.peers
            for other in self.vms.values()
            if other is not vm
        )
        advertised = f"address = {vm.advertised}\n" if vm.advertised else ""
        platform_url = vm.platform_url or self.platform_url
        path = self.folder / f"{vm.name}.ini"
        path.write_text(
            f"[vm]\nname = {vm.name}\navailability_zone = {vm.zone}\n"
            f"[listen]\ncallers = {vm.callers}\n"
            f"operators = {vm.operators}\npeers = {vm.peers}\n"
            f"[peers]\njoin = {join}\n{advertised}"
            f"[platform]\nlog_url = {platform_url}\n"
            f"vm_list_url = {vm.vm_list_url or platform_url}\n"
            f"{self.extra_settings}"
        )
        return path

    def start_vm(self, vm: Vm) -> None:
        """Write the settings file of a VM and start its daemon."""
        path = self.write_settings(vm)
        profiler = ["-m", "cProfile", "-o", f"{vm.name}.profile"]
        vm.process = self.start(
            vm.name,
            *(profiler if self.profile else []),
            *("-m", "bronzetrack.daemon", "--config", str(path)),
        )

    def wait_vms(self) -> None:
        """Wait until every daemon answers."""
        for vm in self.vms.values():
            self.wait(lambda vm=vm: self.get_state(vm, "vm"))

    def get_state(self, vm: Vm, section: str) -> Any:
        """Return the value of a section of the state of a daemon.

        :raises NoAnswerError: if the daemon does not answer
        """
        answer = fetch("GET", f"http://{vm.operators}/state/{section}")
        if answer is None:
            raise NoAnswerError(f"{vm.name} does not answer")
        return answer["value"]

    def count_owned(self) -> int:
        """Return how many endpoints have an owner that is running."""
        running_vms = [vm for vm in self.vms.values() if is_running(vm)]
        if not running_vms:
            raise SiteError(f"no daemon runs\n{self.read_log_tails()}")
        ownership = self.get_state(running_vms[0], "ownership")
        names = {vm.name for vm in running_vms}
        return sum(
            owner["vm"] in names for owner in ownership["owners"].values()
        )

    def is_settled(self) -> bool:
        """Return whether each endpoint is owned by a running VM of its zone.

        Until then, endpoints still move between VMs.
        """
        running_vms = {
            name: vm for name, vm in self.vms.items() if is_running(vm)
        }
        views = [
            self.get_state(vm, "ownership") for vm in running_vms.values()
        ]
        return all(
            name in view["owners"]
            and view["owners"][name]["vm"] in running_vms
            and running_vms[view["owners"][name]["vm"]].zone == endpoint.zone
            for view in views
            for name, endpoint in self.endpoints.items()
        )

    def read_log_tails(self) -> str:
        """Return the last lines of the log of each daemon."""
        return "\n".join(
            f"{name}: {line}"
            for name in self.vms
            for line in (self.folder / f"{name}.log")
            .read_text()
            .splitlines()[-LOG_LINES:]
        )

    def wait(
        self, condition: Callable[[], Any], timeout_s: float = 30.0
    ) -> None:
        """Wait until a condition holds.

        A condition that needs an answer from a daemon which does not answer
        counts as not yet met.

        :raises SiteError: if the condition does not hold before the timeout
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with contextlib.suppress(NoAnswerError):
                if condition():
                    return
            time.sleep(0.05)
        raise SiteError(
            f"timeout while waiting for a condition\n{self.read_log_tails()}"
        )

    def make_inventory(
        self, adapters: int = 12, member: str = "trust"
    ) -> dict[str, Any]:
        """Return an inventory of the endpoints and some adapters."""
        return {
            "members": [member],
            "base_models": ["base"],
            "adapters": {
                f"{member}-{index}": {
                    "owner": member,
                    "base_model": "base",
                    "versions": ["1", "2"],
                    "current": "2",
                }
                for index in range(adapters)
            },
            "endpoints": {
                endpoint.name: {
                    "host": endpoint.host,
                    "port": endpoint.port,
                    "availability_zone": endpoint.zone,
                    "kind": endpoint.kind,
                    "base_model": (
                        "base" if endpoint.kind == "engine" else ""
                    ),
                    "slots": self.slots,
                    "adapter_slots": self.adapter_slots,
                    "checks_fencing": endpoint.checks_fencing,
                }
                for endpoint in self.endpoints.values()
            },
            "services": {
                "updates": {
                    "owner": member,
                    "prefix": "/services/updates",
                    "endpoints": [
                        endpoint.name
                        for endpoint in self.endpoints.values()
                        if endpoint.kind == "service"
                    ],
                }
            },
        }

    def make_rules(self, member: str = "trust") -> dict[str, Any]:
        """Return rules for one member with three work classes."""
        return {
            "members": {member: {"weight": 1.0, "warm_adapters": 64}},
            "classes": {
                "urgent": {"rank": 0},
                "normal": {"rank": 1},
                "long": {"rank": 2, "slot_share": 0.5},
            },
            "default_class": "normal",
        }

    def send(
        self,
        model: str,
        vm: Vm | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
        **fields: Any,
    ) -> httpcore.Response:
        """Send a completions call to a daemon and return the answer.

        :param vm: VM to send to; the first one by default
        :param fields: further fields of the body
        """
        address = (vm or next(iter(self.vms.values()))).callers
        body = {"model": model, "prompt": "hello", **fields}
        timeouts = dict.fromkeys(TIMEOUTS, timeout_s)
        return httpcore.request(
            "POST",
            f"http://{address}/v1/completions",
            headers={"Content-Type": "application/json", **(headers or {})},
            content=json.dumps(body).encode(),
            extensions={"timeout": timeouts},
        )

    def set_faults(self, **faults: Any) -> None:
        """Set the faults of the platform and clear those not given."""
        if fetch("PUT", f"{self.platform_url}/faults", faults) is None:
            raise SiteError("the platform did not accept the faults")

    def read_statistics(self) -> dict[str, Any]:
        """Return the counters of the platform."""
        return fetch("GET", f"{self.platform_url}/statistics")

    def wait_keys(self) -> None:
        """Wait until every VM has read the key stream to its end."""
        for vm in self.vms.values():
            self.wait(lambda vm=vm: self.get_state(vm, "keys")["caught_up"])

    def is_serving(self, name: str) -> bool:
        """Return whether a daemon and all other running ones see it serving.

        The other daemons also have to be connected to it.
        """
        running_vms = [vm for vm in self.vms.values() if is_running(vm)]
        for vm in running_vms:
            section = "lifecycle" if vm.name == name else "membership"
            value = self.get_state(vm, section)
            if section == "membership":
                value = value["vms"].get(name)
                if value is None or not value["connected"]:
                    return False
            if value["status"] != "serving":
                return False
        return True

    def count_runs(self, text: str) -> int:
        """Return how often endpoints ran requests that contain a text."""
        statistics = [
            fetch("GET", f"{item.url}/statistics")
            for item in self.endpoints.values()
        ]
        return sum(
            count
            for answer in statistics
            for body, count in (answer or {"runs": {}})["runs"].items()
            if text in body
        )

    def stop(self) -> None:
        """Kill every process that the site started and wait for its end."""
        running = [item for item in self.processes if item.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(STOP_TIMEOUT_S)


def publish_samples(site: Site) -> None:
    """Publish the sample inventory and rules with the command-line tool."""
    publish_documents(
        site,
        {"inventory": site.make_inventory(), "rules": site.make_rules()},
    )


def publish_documents(site: Site, documents: dict[str, Any]) -> None:
    """Publish documents by kind with the command-line tool."""
    for kind, document in documents.items():
        path = site.folder / f"{kind}.json"
        path.write_text(json.dumps(document))
        run_command_line(
            kind, "publish", str(path), "--log-url", site.platform_url
        )


def run_command_line(*arguments: str) -> str:
    """Run the command-line tool and return its standard output."""
    result = subprocess.run(
        [sys.executable, "-m", "bronzetrack.console", *arguments],
        env={**os.environ, "PYTHONPATH": str(TESTS.parent / "src")},
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return result.stdout


def is_running(vm: Vm) -> bool:
    """Return whether the process of a daemon is running."""
    return vm.process is not None and vm.process.poll() is None


def fetch(
    method: str, url: str, body: Any = None, timeout_s: float = 2.0
) -> Any:
    """Send a request and return the JSON value of the answer.

    :returns: {} if the answer has no body; None if there is no answer or its
        status is not 200
    """
    timeouts = dict.fromkeys(TIMEOUTS, timeout_s)
    content = b"" if body is None else json.dumps(body).encode()
    try:
        answer = httpcore.request(
            method, url, content=content, extensions={"timeout": timeouts}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException):
        return None
    except httpcore.ProtocolError:
        return None
    if answer.status != 200:
        return None
    return json.loads(answer.content) if answer.content else {}


def exit_on_signals() -> None:
    """Raise SystemExit on SIGTERM and SIGHUP, so that clean-up runs."""

    def raise_exit(number: int, frame: Any) -> None:
        raise SystemExit(128 + number)

    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, raise_exit)


@contextlib.contextmanager
def run_site(
    folder: pathlib.Path,
    vms: int = 3,
    engines: int = 3,
    services: int = 1,
    endpoint_zones: Sequence[str] = ZONES,
    **options: Any,
) -> Iterator[Site]:
    """Run a site and stop all of its processes at the end or on failure.

    :param services: number of plain services
    :param endpoint_zones: zones that the endpoints are spread over in turn
    :param options: further fields of the site
    """
    site = Site(folder, ports.hold_port(PLATFORM_HOST), **options)
    try:
        site.start_platform()
        if site.forwarded:
            site.start_forwarder()
        kinds = ["engine"] * engines + ["service"] * services
        for index, kind in enumerate(kinds):
            host = f"{NETWORK}.1.{index + 1}"
            site.start_endpoint(
                EndpointProcess(
                    f"{kind}-{index}",
                    endpoint_zones[index % len(endpoint_zones)],
                    host,
                    ports.hold_port(host),
                    kind,
                    checks_fencing=index % 2 == 0,
                )
            )
        site.wait_endpoints()
        for index in range(vms):
            zone = ZONES[index % len(ZONES)]
            site.add_vm(f"vm-{index}", zone, f"{NETWORK}.2.{index + 1}")
        for vm in list(site.vms.values()):
            site.start_vm(vm)
        site.wait_vms()
        yield site
    finally:
        site.stop()
