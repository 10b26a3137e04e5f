"""Replay of requests to full engines with the real forwarding."""

from __future__ import annotations

import asyncio
import random

import attrs
from entry import sites
from entry import virtualtime

from bronzetrack.entry import board as boards
from bronzetrack.entry import endpoints
from bronzetrack.entry import roles
from bronzetrack.entry import routes
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry.admission import recording
from bronzetrack.entry.controllers import forwarding
from bronzetrack.entry.forwarding import outcomes
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import relays
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.peering import peers
from bronzetrack.transport import heads

SLOTS = 16
QUEUE = 4
FIRST_EVENT_S = 0.05
HOP_S = 0.002
DIGEST_S = 0.6
VMS = 60
WINDOW_S = 10.0
# Requests of each VM for the service within the window before the replay.
EARLIER_REQUESTS = 50
FUTURE = 1e9
ENGINE = routes.EngineCapacity((), SLOTS, 1.0, 9, 1.0, 194_947)


@attrs.frozen(eq=False)
class Kind:
    """A class of requests for one adapter.

    :param run_s: time for which a request occupies a slot
    """

    rate_per_s: float
    target_s: float = 0.615
    leaves_s: float = 5.123
    priority: int = 1
    run_s: float = 0.4
    adapter: str = "a"


@attrs.define(eq=False)
class Engine:
    """An engine that runs requests in slots and has a short queue."""

    running: int = 0
    queue: list[tuple[int, int, asyncio.Event]] = attrs.field(factory=list)
    arrived: int = 0
    rejected: int = 0

    async def run(
        self, relay: relays.Relay, priority: int, run_s: float
    ) -> None:
        """Reject a request, or run it as soon as a slot is free."""
        self.arrived += 1
        if len(self.queue) >= QUEUE:
            self.rejected += 1
            relay.on_head(heads.ResponseHead(503, [], True))
            relay.done.set_result(relays.Outcome.REJECTED)
            return
        turn = asyncio.Event()
        self.queue.append((priority, self.arrived, turn))
        self._start_next()
        await turn.wait()
        await asyncio.sleep(FIRST_EVENT_S)
        relay.on_head(heads.ResponseHead(200, [], True))
        await asyncio.sleep(run_s - FIRST_EVENT_S)
        self.running -= 1
        self._start_next()
        relay.done.set_result(relays.Outcome.DELIVERED)

    def _start_next(self) -> None:
        if self.queue and self.running < SLOTS:
            first = min(self.queue, key=lambda item: item[:2])
            self.queue.remove(first)
            self.running += 1
            first[2].set()


@attrs.define(eq=False)
class Result:
    """A request and what came of it; it serves as its exchange, too."""

    kind: Kind
    started: bool = False
    first_s: float | None = None
    failure: object = None

    def watch_writable(self, action: object) -> None:
        """Ignore how fast the caller reads."""

    def start(self, status: int, headers: heads.Headers) -> None:
        """Begin the answer."""
        self.started = True

    def finish(self) -> None:
        """End the answer."""


@attrs.define(eq=False)
class Sender:
    """Sends the requests of a VM to engines, and records the outcomes."""

    replay: Replay
    board: boards.Blackboard

    async def send(self, exchange, request, progress, endpoint):
        """Send a request to an endpoint."""
        read_clock = self.replay.loop.time
        admission = recording.AdmissionRecorder(self.board, read_clock)
        traffic = self.board.traffic.value.get_or_create(endpoint.identity)
        priority = admission.choose_priority(request, progress, read_clock())
        relay = relays.Relay(
            exchange, request, None, None, read_clock, lambda: None
        )
        progress.sends += 1
        progress.possible_runs += 1
        traffic.start(None)
        with admission.track(request, progress, endpoint, relay, read_clock()):
            await asyncio.sleep(HOP_S)
            engine = self.replay.engines[endpoint.identity]
            await engine.run(relay, priority, exchange.kind.run_s)
            await asyncio.sleep(HOP_S)
        traffic.end(None)
        outcomes.OutcomeRecorder(self.board, read_clock).record(
            request, progress, endpoint, relay, relay.done.result()
        )
        if relay.status == 200:
            exchange.first_s = relay.first_byte_at - request.arrived_at
        return relay


class Replay:
    """VMs that forward the same seeded arrivals in one mode of the switch."""

    def __init__(self, mode: str, seed: int = 1, vms: int = VMS) -> None:
        self.mode = mode
        self.vms = vms
        self.generator = random.Random(seed)
        self.engines: dict[str, Engine] = {}
        self.results: list[Result] = []
        self.loop = virtualtime.VirtualLoop(lambda *_: None)
        self.controllers = [self._make_vm(f"vm-{n}") for n in range(vms)]

    def _make_vm(self, name: str) -> forwarding.ForwardingController:
        text = f"{sites.make_settings(name)}[routing]\nadmission={self.mode}\n"
        board = boards.Blackboard(entry_settings.parse_settings(text), name)
        board.rules.value.configuration = routes.Configuration(
            1, {}, {"s": routes.Service("s", "/", 500, ENGINE)}
        )
        board.membership.value.peer_table.peers = {
            f"p{n}": peers.Peer(f"p{n}", "", ("", 1), "z", FUTURE, FUTURE)
            for n in range(self.vms - 1)
        }
        controller = forwarding.ForwardingController(
            board, roles.Ports(None, None, None), self.loop.time
        )
        controller._sender = Sender(self, board)
        controller._started_at -= WINDOW_S
        for _ in range(EARLIER_REQUESTS):
            controller._find_budget("s").record_request(self.loop.time())
        return controller

    def add_engine(self, identity: str, *adapters: str) -> None:
        """Tell all VMs of an engine."""
        self.engines[identity] = Engine()
        held = {("m", name): 1 for name in adapters}
        for controller in self.controllers:
            controller.board.endpoints.value.add(
                endpoints.Endpoint(
                    *(identity, "s", "h:1", "z", SLOTS), adapters=held
                )
            )
            for model_key in held:
                controller.board.holder_notifiers.change(model_key)

    def run(
        self, *kinds: Kind, duration_s: float = 6.0, copy_at_s: float = FUTURE
    ) -> list[Result]:
        """Let requests arrive, and return them once all have ended.

        :param copy_at_s: when a further engine holds the adapter
        """
        self.add_engine("e0", "a")
        self.loop.call_later(copy_at_s, self.add_engine, "e1", "a")
        self.loop.run_until_complete(self._run(kinds, duration_s))
        return self.results

    async def _run(self, kinds: tuple[Kind, ...], duration_s: float) -> None:
        digests = asyncio.ensure_future(self._send_digests())
        arrivals = []
        for kind in kinds:
            at = self.loop.time()
            end = at + duration_s
            while at < end:
                at += self.generator.expovariate(kind.rate_per_s)
                arrivals.append((at, self.generator.randrange(self.vms), kind))
        tasks = []
        for at, number, kind in sorted(arrivals, key=lambda item: item[:2]):
            await asyncio.sleep(at - self.loop.time())
            serving = self._serve(self.controllers[number], kind)
            tasks.append(asyncio.ensure_future(serving))
        await asyncio.gather(*tasks)
        digests.cancel()

    async def _send_digests(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_S)
            for controller in self.controllers:
                controller.board.membership.value.active = {
                    name: engine.running + len(engine.queue)
                    for name, engine in self.engines.items()
                }

    async def _serve(
        self, controller: forwarding.ForwardingController, kind: Kind
    ) -> None:
        now = self.loop.time()
        controller._find_budget("s").record_request(now)
        request = requests.Request(
            *(f"r{now}", b"POST", b"/p", "h", b"h", "/p", [], b"", now),
            *(now + 30, "m", kind.adapter, 646, 72),
        )
        request.set_route(
            routes.Route(
                *("r", "h", "/", ()),
                streams=True,
                target_s=kind.target_s,
                priority=kind.priority,
                caller_timeout_s=kind.leaves_s,
            )
        )
        result = Result(kind)
        self.results.append(result)
        result.failure = await controller._forward(
            result, request, progresses.Progress("s")
        )
