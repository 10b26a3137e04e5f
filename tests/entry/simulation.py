"""Simulated store, network, endpoints and entry VMs on virtual time.

The VMs run the real controllers for membership and discovery.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import json
import random
from typing import Any

import anyio
import attrs
from entry import sites
from entry import virtualtime

from bronzetrack.core import positions
from bronzetrack.entry import board as boards
from bronzetrack.entry import endpoints
from bronzetrack.entry import process
from bronzetrack.entry import roles
from bronzetrack.entry import routes
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry.eras import recording
from bronzetrack.entry.workspaces import workspaces as workspace_tables
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

SERVICE = "s"
BEAT_S = 1.2
# The store removes an entry that was not written for this time.
LAPSE_S = 3 * BEAT_S
CALL_TIMEOUT_S = 1.0
STORE_DELAY_S = 0.004
NETWORK_DELAY_S = 0.002


@attrs.define
class Log:
    """Keyed topics of the store.

    :param first: offset of the oldest record that is retained, by topic
    :param hidden: records at the end that reads do not show yet, by topic
    :param era: era that answers state, None for a store without eras
    """

    records: dict[str, list[tuple[str, bytes | None]]] = attrs.field(
        factory=dict
    )
    first: dict[str, int] = attrs.field(factory=dict)
    hidden: dict[str, int] = attrs.field(factory=dict)
    era: int | None = None

    def copy(self) -> dict[str, list[tuple[str, bytes | None]]]:
        """Return a copy of all topics, to which the store can go back."""
        return {topic: list(log) for topic, log in self.records.items()}

    def restore(
        self, records: dict[str, list[tuple[str, bytes | None]]]
    ) -> None:
        """Go back to a copy. What was written since is gone."""
        self.records = {topic: list(log) for topic, log in records.items()}
        self.first.clear()
        self.era = (self.era or 0) + 1

    def append(self, topic: str, key: str, value: bytes | None) -> int:
        """Append a record and return its offset."""
        records = self.records.setdefault(topic, [])
        records.append((key, value))
        return len(records) - 1

    def get_end(self, topic: str) -> int:
        """Return the offset after the last record that reads show."""
        end = len(self.records.get(topic, ()))
        return min(end, self.hidden.get(topic, end))

    def trim(self, topic: str) -> None:
        """Drop the history; the newest record of each key is kept."""
        self.hidden.pop(topic, None)
        self.first[topic] = len(self.records.get(topic, ()))

    def list_newest(self, topic: str) -> list[stores.KeyedRecord]:
        """Return the newest record of each key that has a value."""
        newest = {}
        end = self.get_end(topic)
        for offset, (key, value) in enumerate(self.records.get(topic, ())):
            if offset < end:
                newest[key] = stores.KeyedRecord(key, value, offset)
        return [item for item in newest.values() if item.value is not None]


@attrs.define
class StoreClient:
    """Client of one VM, with the faults of its way to the store.

    :param board: where the eras of the answers are published
    """

    world: World
    vm: str
    board: boards.Blackboard

    async def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Write the value of a key."""
        await self._travel()
        position = self._locate(self.world.log.append(topic, key, value))
        self._record_era()
        return position

    def _locate(self, offset: int) -> positions.Position:
        return positions.make_position(self.world.log.era or 0, offset)

    def _record_era(self) -> None:
        """Publish the era that an answer states if it is new."""
        section = self.board.store_era
        era = self.world.log.era
        if era is None or section.revision and era == section.value.number:
            return
        recording.record_era(self.board, era, bool(section.revision))

    async def read_newest(
        self, topic: str
    ) -> tuple[list[stores.KeyedRecord], int]:
        """Return the newest record of each key, and the next offset."""
        await self._travel()
        log = self.world.log
        answer = (log.list_newest(topic), self._locate(log.get_end(topic)))
        await self._travel()
        self._record_era()
        return answer

    async def read(
        self, topic: str, first: int, max_wait_s: float
    ) -> stores.Batch:
        """Return the records from an offset."""
        await self._travel()
        await asyncio.sleep(max_wait_s)
        log = self.world.log
        self._record_era()
        start = positions.get_offset(first)
        is_past = positions.get_era(first) != (log.era or 0)
        if is_past or start < log.first.get(topic, 0):
            raise stores.RecordsExpiredError("expired")
        end = log.get_end(topic)
        batch = stores.Batch(
            [
                bytes([len(key)]) + key.encode() + (value or b"")
                for key, value in log.records.get(topic, [])[start:end]
            ],
            first,
            self._locate(end),
        )
        await self._travel()
        return batch

    async def _travel(self) -> None:
        """Take one way between the VM and the store.

        :raises stores.StoreUncertainError: the call has failed
        """
        await asyncio.sleep(self.world.draw_store_delay())
        if not self.world.reaches_store(self.vm):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise stores.StoreUncertainError("no response")


@attrs.define
class Transport:
    """Datagram socket of a VM."""

    world: World
    address: tuple[str, int]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.world.deliver(data, self.address, address)


@attrs.define(eq=False)
class EndpointProcess:
    """An endpoint that writes entries.

    :param left_at: when the store confirmed that it leaves
    """

    identity: str
    born: int
    sequence: int = 0
    state: str = "ready"
    left_at: float | None = None

    def describe(self, sequence: int | None = None) -> bytes:
        """Return the entry with the present or an earlier number."""
        document = {
            "service": SERVICE,
            "address": "127.0.0.1:1",
            "zone": "z",
            "capacity": 8,
            "state": self.state if sequence is None else "ready",
            "sequence": self.sequence if sequence is None else sequence,
            "born": self.born,
            "models": [],
        }
        return json.dumps(document).encode()


@attrs.define(eq=False)
class VmProcess:
    """An entry VM.

    :param started_at: when its process started
    :param store_lost_at: when it was last cut off from the store
    """

    name: str
    board: boards.Blackboard
    task: asyncio.Task[None]
    started_at: float

    def find(self, identity: str) -> endpoints.Endpoint | None:
        """Return what the VM knows of an endpoint."""
        return self.board.endpoints.value.by_identity.get(identity)


@attrs.define(eq=False)
class World:
    """All processes, the store and the network.

    :param cut_from_store: VMs that do not reach the store
    :param store_down: whether no VM and no endpoint reaches the store
    :param loss: share of the datagrams that are lost
    :param slow: factor of the time of calls to the store
    :param passes: pairs of VMs whose datagrams do not arrive
    :param controllers: names of the controllers that VMs run
    :param workspaces: workspaces of the configuration
    """

    generator: random.Random
    log: Log = attrs.field(factory=Log)
    vms: dict[str, VmProcess] = attrs.field(factory=dict)
    endpoints: dict[str, EndpointProcess] = attrs.field(factory=dict)
    sockets: dict[tuple[str, int], Any] = attrs.field(factory=dict)
    cut_from_store: set[str] = attrs.field(factory=set)
    cut_from_vms: set[str] = attrs.field(factory=set)
    store_down: bool = False
    loss: float = 0.0
    slow: float = 1.0
    controllers: tuple[str, ...] = ("membership", "discovery")
    workspaces: dict[str, workspace_tables.Workspace] = attrs.field(
        factory=dict
    )

    def read_clock(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def reaches_store(self, vm: str) -> bool:
        """Return whether calls of a VM reach the store now."""
        return not self.store_down and vm not in self.cut_from_store

    def draw_store_delay(self) -> float:
        """Return the time of one way to or from the store, in seconds."""
        return self.slow * STORE_DELAY_S * self.generator.uniform(0.5, 1.5)

    def open_socket(self, address: tuple[str, int], protocol: Any) -> Any:
        """Bind a socket of a VM."""
        self.sockets[address] = protocol
        return Transport(self, address)

    def deliver(
        self, data: bytes, sender: tuple[str, int], address: tuple[str, int]
    ) -> None:
        """Let a datagram arrive, unless it is lost."""
        is_cut = bool({sender[0], address[0]} & self.cut_from_vms)
        if is_cut or self.generator.random() < self.loss:
            return
        protocol = self.sockets.get(address)
        if protocol is not None:
            asyncio.get_running_loop().call_later(
                NETWORK_DELAY_S * self.generator.uniform(0.5, 1.5),
                protocol.datagram_received,
                data,
                sender,
            )

    # VMs.

    def start_vm(self, name: str) -> None:
        """Start the controllers of a VM."""
        settings = entry_settings.parse_settings(sites.make_settings(name))
        settings = attrs.evolve(settings, peer_ip=name)
        board = boards.Blackboard(settings, f"{name}/{self.read_clock()}")
        board.lifecycle.value.ready = True
        board.rules.value.configuration = routes.Configuration(
            1,
            {},
            {SERVICE: routes.Service(SERVICE, "/h", 10)},
            workspaces=workspace_tables.Directory(self.workspaces, {}),
        )
        ports = roles.Ports(StoreClient(self, name, board), None, None)
        task = asyncio.ensure_future(self._run_vm(board, ports))
        self.vms[name] = VmProcess(name, board, task, self.read_clock())

    async def _run_vm(
        self, board: boards.Blackboard, ports: roles.Ports
    ) -> None:
        async with anyio.create_task_group() as group:
            for name in self.controllers:
                controller = roles.CONTROLLERS.lookup(name)(
                    board, ports, self.read_clock
                )
                group.start_soon(controller.run)

    async def stop_vm(self, name: str) -> None:
        """Kill a VM."""
        task = self.vms.pop(name).task
        self.sockets.pop((name, 3), None)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    # Endpoints.

    async def run_endpoint(self, endpoint: EndpointProcess) -> None:
        """Write the entries of an endpoint until it has left."""
        self.endpoints[endpoint.identity] = endpoint
        while endpoint.left_at is None:
            await self._await_store()
            if endpoint.left_at is not None:
                return
            endpoint.sequence += 1
            self._write(endpoint.identity, endpoint.describe())
            await asyncio.sleep(BEAT_S)

    async def leave(self, endpoint: EndpointProcess, is_abrupt: bool) -> None:
        """Let an endpoint leave, with an entry that says so or without."""
        await self._await_store()
        endpoint.sequence += 1
        endpoint.state = "draining"
        value = None if is_abrupt else endpoint.describe()
        self._write(endpoint.identity, value)
        endpoint.left_at = self.read_clock()
        if not is_abrupt:
            await asyncio.sleep(self.generator.uniform(3.0, 6.0))
            await self._await_store()
            self._write(endpoint.identity, None)
        await asyncio.sleep(self.generator.uniform(0.5, 5.0))
        if self.generator.random() < 0.5:
            old = endpoint.sequence - self.generator.choice([1, 2])
            self._write(endpoint.identity, endpoint.describe(old))
            await asyncio.sleep(LAPSE_S)
            await self._await_store()
            self._write(endpoint.identity, None)

    async def _await_store(self) -> None:
        while self.store_down:
            await asyncio.sleep(0.2)

    def _write(self, identity: str, value: bytes | None) -> None:
        self.log.append(names.SERVERS_TOPIC, identity, value)

    def lapse(self) -> None:
        """Remove the entries of endpoints that could not write them."""
        for endpoint in self.endpoints.values():
            if endpoint.left_at is None:
                self._write(endpoint.identity, None)


def run(world: World, scenario: Any) -> None:
    """Run a scenario, a coroutine function, in a world."""
    process.import_controllers()
    loop = virtualtime.VirtualLoop(world.open_socket)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(scenario())


def iterate_seeds(first: int, count: int) -> Iterator[random.Random]:
    """Yield generators with consecutive seeds."""
    return map(random.Random, range(first, first + count))
