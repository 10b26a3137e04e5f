"""An order without an answer, and another VM that wakes meanwhile."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import signal

import configurations
import deployment
import engine as engines
import http_peer

MODEL = "m0"
# The adapter of the case, one that takes its place, and one that is in use
# all the time, so that one of the two places changes hands.
ADAPTER, OTHER, BUSY = "a1", "a2", "a9"
SLOTS = 2
EVENTS, EVENT_PAUSE_S = 12, 0.01
LATE_S = 2.5
WAKE_AFTER_S = 0.05
# Rounds begin at different phases of the holder's clean-up, once a second.
ROUNDS = 8
ROUND_STEP_S = 0.3
SETTLE_S = 2.0
KEPT_CHANNELS = 8
WORK_S = 0.3
CAPACITY = 32
ALLOWED_LOSSES = 3


class Ledger:
    """Sound server of the plain service; each request takes 0.3 s."""

    def __init__(self, site: deployment.Deployment) -> None:
        self._site = site
        self.runs: set[str] = set()

    async def handle(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request."""
        identity = request.headers["x-request-id"]
        self.runs.add(identity)
        self._site.record(f"ledger: runs {identity}")
        await asyncio.sleep(WORK_S)
        headers = {"X-Request-Id": identity, "X-Server-Signature": "i-1.sig"}
        writer.write(http_peer.make_response(200, b"filed", headers))


def make_services() -> list[dict]:
    """Return the services of the configuration."""
    model = {
        "name": MODEL,
        "weights_mb": 16100,
        "load_time_s": 1.3,
        "adapters": 3000,
        "adapter_mb": 14.0,
    }
    runtime = {
        "capacity": CAPACITY,
        "kv_capacity": 149363,
        "models": [model],
        "weights_mb": 16700,
        "adapter_slots": SLOTS,
        "loads_per_s": 4.3,
    }
    scribe = {"name": "scribe", "health_path": "/healthz", "max_conns": 620}
    return [configurations.PLAIN, scribe | {"runtime": runtime}]


class Case:
    """One run of the case.

    :param holder: VM that gives the orders
    :param other: VM that stands still for a while
    """

    def __init__(self, site: deployment.Deployment) -> None:
        self._site = site
        self._ids = itertools.count(1)
        self._lose_next_load = False
        self._lost_load = asyncio.Event()
        self._closing = False
        self._idle: dict[str, list[http_peer.Channel]] = (
            collections.defaultdict(list)
        )
        self.losses: list[str] = []
        self.ledger = Ledger(site)
        self.engine = engines.Engine(
            "i-2",
            MODEL,
            SLOTS,
            EVENTS,
            EVENT_PAUSE_S,
            site.record,
            self._loses_answer,
        )
        self.engine.late_s = lambda: LATE_S
        self.engine_server = http_peer.Server(self.engine.handle)

    def _loses_answer(self, order: dict) -> bool:
        is_awaited = (
            self._lose_next_load
            and order["operation"] == "load"
            and order.get("adapter") == ADAPTER
        )
        if is_awaited:
            self._lose_next_load = False
            self._lost_load.set()
        return is_awaited

    async def start(self) -> None:
        """Start the servers, the store and two VMs."""
        site = self._site
        ledger_address = await http_peer.Server(self.ledger.handle).start()
        await self.engine_server.start()
        await site.start_store(
            configurations.make_configuration(
                [
                    configurations.make_route(
                        "summary",
                        "streaming",
                        "scribe",
                        aim_ms=1000,
                        gap_target_ms=250,
                        resumable=False,
                        sticky=True,
                    ),
                    configurations.make_route("file", "unsafe", "ledger"),
                ],
                make_services(),
            )
        )
        entry = configurations.make_entry("ledger", ledger_address)
        site.store.put_json("keyed.servers", "i-1", entry)
        self._announce(1)
        self._beats = asyncio.create_task(self._beat())
        vms = [await site.start_vm(number) for number in (1, 2)]
        for vm in vms:
            await site.await_ready(vm)
        await asyncio.sleep(deployment.CONTACT_S + 1)
        self.holder, self.other = vms
        if any(
            item["event"] == "lease_taken" for item in site.read_events(vms[1])
        ):
            self.holder, self.other = reversed(vms)
        site.record(f"{self.holder.name} gives the orders")

    async def _beat(self) -> None:
        for number in itertools.count(2):
            await asyncio.sleep(1.2)
            self._announce(number)

    def _announce(self, number: int) -> None:
        entry = configurations.make_entry(
            "scribe",
            self.engine_server.address,
            sequence=number,
            capacity=CAPACITY,
            models=self.engine.list_models(),
        )
        self._site.store.put_json("keyed.servers", "i-2", entry)

    async def stream(self, vm: deployment.Vm, adapter: str) -> None:
        """Send a request that names an adapter, on the VM's kept channel."""
        identity = f"stream-{next(self._ids)}"
        self._site.record(f"consumer: {identity} for {adapter} to {vm.name}")
        channel = self._idle[vm.name].pop() if self._idle[vm.name] else None
        with contextlib.suppress(OSError):
            if channel is None:
                channel = http_peer.Channel()
                await channel.connect(vm.host, vm.front)
            headers = {
                "Host": deployment.HOST,
                "X-Request-Id": identity,
                "X-Deadline-Ms": "10000",
                "X-Model": f"{MODEL}/{adapter}",
                "X-Token-Usage": "100,6",
            }
            response = await channel.request(
                "POST", "/summary/x", headers, b"prompt"
            )
            self._site.record(
                f"consumer: {identity} got status {response.status},"
                f" complete: {response.whole} {response.error}"
            )
            if response.whole:
                self._idle[vm.name].append(channel)

    async def keep_busy(self) -> None:
        """Use an adapter all the time."""
        while self.holder.process.returncode is None:
            await self.stream(self.holder, BUSY)

    async def file(self, number: int) -> None:
        """Send requests on one kept channel until it is closed."""
        channel = http_peer.Channel()
        await channel.connect(self.holder.host, self.holder.front)
        while not self._closing:
            identity = f"file-{number}-{next(self._ids)}"
            headers = {
                "Host": deployment.HOST,
                "X-Request-Id": identity,
                "X-Deadline-Ms": "8000",
            }
            response = await channel.request(
                "POST", "/file/x", headers, b"launch"
            )
            if response.whole:
                continue
            has_run = identity in self.ledger.runs
            self._site.record(
                f"consumer: {identity} got no answer, its kept channel was"
                f" closed; it has run: {has_run} {response.error}"
            )
            if has_run:
                self.losses.append(identity)
            break
        channel.close()

    async def play(self) -> None:
        """Let two adapters take turns in one place of the engine."""
        holder, other = self.holder, self.other
        await self.stream(holder, ADAPTER)
        await self.stream(holder, OTHER)
        await asyncio.sleep(SETTLE_S)
        await self.stream(holder, ADAPTER)
        if deployment.has_trouble():
            other.process.send_signal(signal.SIGSTOP)
            self._site.record(f"{other.name}: stands still")
        waiting = asyncio.create_task(self.stream(other, ADAPTER))
        self._lost_load.clear()
        self._lose_next_load = deployment.has_trouble()
        await self.stream(holder, OTHER)
        again = asyncio.create_task(self.stream(holder, ADAPTER))
        if deployment.has_trouble():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._lost_load.wait(), 3)
                await asyncio.sleep(WAKE_AFTER_S)
            other.process.send_signal(signal.SIGCONT)
            self._site.record(f"{other.name}: goes on")
        await asyncio.wait([waiting, again], timeout=6)
        # The order that got no answer may be carried out now.
        await asyncio.sleep(LATE_S + 0.5)

    async def play_rounds(self) -> None:
        """Play until the holder has ended, ROUNDS times at most."""
        tasks = [
            asyncio.create_task(self.file(number))
            for number in range(KEPT_CHANNELS)
        ]
        for number in range(ROUNDS):
            self._site.record(f"round {number + 1}")
            await self.play()
            if self.holder.process.returncode is not None:
                break
            await asyncio.sleep(ROUND_STEP_S)
        self._closing = True
        await asyncio.wait(tasks, timeout=4 * WORK_S)


async def run(site: deployment.Deployment) -> int:
    """Run the case."""
    case = Case(site)
    await case.start()
    busy = asyncio.create_task(case.keep_busy())
    await asyncio.sleep(1.0)
    await case.play_rounds()
    busy.cancel()
    site.record_events(
        case.holder, "lease_taken", "order", "controller_failed"
    )
    code = case.holder.process.returncode
    site.record(f"{case.holder.name}: exit code {code}")
    site.record(f"lost on kept channels: {len(case.losses)}")
    if len(case.losses) > ALLOWED_LOSSES:
        return deployment.BROKEN
    return deployment.HELD


if __name__ == "__main__":
    deployment.run_case(__file__, run)
