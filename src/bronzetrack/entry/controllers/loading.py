"""Controller that gives orders to engines while this VM holds the lease."""

from __future__ import annotations

import collections
import itertools
import math
from typing import Any

import anyio
from anyio import abc

from bronzetrack.core import blackboard
from bronzetrack.entry import endpoints
from bronzetrack.entry import loading
from bronzetrack.entry import loadstate
from bronzetrack.entry import loadtimes
from bronzetrack.entry import messages
from bronzetrack.entry import ordering
from bronzetrack.entry import placement
from bronzetrack.entry import roles
from bronzetrack.entry import routes

# Longest time between two turns of planning.
BUSY_INTERVAL_S = 0.05
# Longest time between two turns while no adapter is in use or in demand.
IDLE_INTERVAL_S = 0.25
# Longest time between two turns of a VM without the lease, which plans
# nothing.
FOLLOWER_INTERVAL_S = 1.0
# Time between two removals of outdated state by the holder of the lease.
CLEANUP_INTERVAL_S = 1.0
# A demand that no VM repeats within this time is dropped.
DEMAND_TTL_S = 1.0
# An engine that a VM could not reach gets no orders for this time.
UNREACHABLE_S = 0.6
# Shortest pause between two turns, because demands arrive in bursts.
TURN_PAUSE_S = 0.004
# A load that takes longer than expected is announced again after this time.
LOAD_RECHECK_S = 0.06
# Added to the mean number of requests, so that a few requests do not make an
# engine count as busy.
LOAD_OFFSET_REQUESTS = 4.0
# Period over which loads of base models are rate-limited.
MODEL_LOAD_WINDOW_S = 5.0
# Share of the rate of the weight store that loads of base models may use.
MODEL_LOAD_SHARE = 0.6
# An engine that loads its base model gets no further order within this many
# times the stated load time.
MODEL_LOAD_FACTOR = 3.0


@roles.CONTROLLERS.register("loading")
class LoadingController(roles.Controller):
    """Plans loads of base models and adapters."""

    name = "loading"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._orderer = ordering.Orderer(
            self.board,
            self.ports.engines,
            self.read_clock,
            lambda: self.write(self.board.loading, self._state),
        )

    async def run(self) -> None:
        """Run turns of planning until cancelled."""
        section = self.board.loading
        async with anyio.create_task_group() as group:
            while True:
                await blackboard.wait_any(
                    self.board.wanted.is_not_empty(),
                    section.is_newer(section.revision),
                    self.board.lease.is_newer(self.board.lease.revision),
                    timeout_ms=self._compute_pause_ms(self.read_clock()),
                )
                self._run_turn(group, self.read_clock())
                await anyio.sleep(TURN_PAUSE_S)

    def _compute_pause_ms(self, now: float) -> int:
        """Return the time until a load, a report or a turn is due, in ms."""
        engines = self._state.engines.values()
        held = self.board.lease.value.is_held(now)
        loads = (engine.pending.values() for engine in engines)
        reports = (
            engine.check_at
            for engine in engines
            if held and engine.check_at is not None and not engine.ordering
        )
        due = min(itertools.chain(*loads, reports), default=math.inf)
        interval_s = (
            self._choose_interval(now) if held else FOLLOWER_INTERVAL_S
        )
        return math.ceil(1000 * max(0.0, min(interval_s, due - now)))

    def _choose_interval(self, now: float) -> float:
        """Return the longest time between two turns of the lease holder."""
        members = self.board.membership.value.members
        in_use = any(
            item.uses
            for item in itertools.chain(
                self.board.traffic.value.by_identity.values(),
                members.list_alive(now),
            )
        )
        return (
            BUSY_INTERVAL_S
            if in_use or self._state.demands
            else IDLE_INTERVAL_S
        )

    @property
    def _state(self) -> loadstate.LoadingState:
        return self.board.loading.value

    def _run_turn(self, group: abc.TaskGroup, now: float) -> None:
        wants = self.board.wanted.take()
        if not self.board.lease.value.is_held(now):
            self._end_term(now)
            return
        if self._state.ended:
            # Another VM may have given orders in the meantime.
            self.write(self.board.loading, loadstate.LoadingState())
        if self._state.started_at is None:
            self._state.started_at = now
        for want in wants:
            self._record_want(want, now)
        self._record_uses(now)
        self._finish_loads(now)
        self._plan(group, now)
        if now - self._state.forgot_at > CLEANUP_INTERVAL_S:
            self._state.forget(now)

    def _end_term(self, now: float) -> None:
        """Announce loads that complete, and reset the state after the last."""
        if self._state.started_at is None:
            return
        self._state.ended = True
        self._finish_loads(now)
        if not any(item.pending for item in self._state.engines.values()):
            self.write(self.board.loading, loadstate.LoadingState())

    def _record_want(self, want: messages.Want, now: float) -> None:
        need = (want.model, want.adapter)
        if want.unreachable:
            self._mark_unreachable(want.unreachable, now)
        if want.missing:
            self._handle_missing(want, need, now)
        key = (want.service, need)
        demand = self._state.demands.get(key)
        if demand is None:
            demand = loadstate.Demand(
                want.service,
                need,
                want.version,
                want.copies,
                due=-math.inf,
                last_at=now,
                since=now,
            )
            self._state.demands[key] = demand
        demand.last_at = now
        demand.note_due(
            now + want.slack_ms / 1000, now + self._state.measure_margin()
        )
        demand.version = max(demand.version, want.version)
        demand.copies = max(demand.copies, want.copies)

    def _mark_unreachable(self, identity: str, now: float) -> None:
        endpoint = self.board.endpoints.value.by_identity.get(identity)
        if endpoint is not None:
            state = self._state.find_engine(endpoint)
            state.silent_until = now + UNREACHABLE_S

    def _handle_missing(
        self, want: messages.Want, need: endpoints.Need, now: float
    ) -> None:
        endpoint = self.board.endpoints.value.by_identity.get(want.missing)
        if endpoint is None:
            return
        state = self._state.find_engine(endpoint)
        loaded_at = state.loaded_at.get(need)
        if loaded_at is not None and now - loaded_at < loading.FRESH_S:
            self._state.times.note_early(
                state.kinds.get(need, loadtimes.UNKNOWN_KIND)
            )
            state.pending[need] = now + LOAD_RECHECK_S
        elif need in state.held and state.check_at is None:
            state.check_at = now + ordering.REPORT_LAG_S
        self._orderer.publish(endpoint, need, 0)

    def _record_uses(self, now: float) -> None:
        uses: collections.Counter[tuple[str, endpoints.Need]] = (
            collections.Counter()
        )
        for identity, item in self.board.traffic.value.by_identity.items():
            for need in item.uses:
                uses[(identity, need)] += 1
        members = self.board.membership.value.members
        for peer in members.list_alive(now):
            for identity, model, adapter in peer.uses:
                uses[(identity, (model, adapter))] += 1
        self._state.note_uses(uses, now)

    def _plan(self, group: abc.TaskGroup, now: float) -> None:
        configuration = self.board.rules.value.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_models(group, service, service.engine, now)
        self._start_checks(group, now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(group, service.name, service.engine, now)

    def _plan_service(
        self,
        group: abc.TaskGroup,
        service: str,
        engine: routes.Engine,
        now: float,
    ) -> None:
        """Start loads of adapters by urgency while engines can take them."""
        state = self._state
        candidates = self.board.endpoints.value.list_service(service)
        available = [
            item
            for item in candidates
            if loading.can_order(item, state, now)
            and loading.has_room(item, state, engine, now)
        ]
        relative_loads = self._compute_relative_loads(candidates)
        demands = [
            item for item in state.demands.values() if item.service == service
        ]
        margin_s = state.measure_margin()
        for demand in loading.order_demands(demands, margin_s, now):
            key = (service, demand.need)
            holders = loading.list_holders(candidates, demand, state, now)
            if now - demand.last_at > DEMAND_TTL_S:
                del state.demands[key]
            elif len(holders) >= demand.copies:
                self._republish_holders(holders, demand)
                del state.demands[key]
            elif available:
                fitting = loading.prefer_warm(
                    available, candidates, holders, demand, state, now
                )
                plan = loading.plan_load(
                    fitting, demand, state, relative_loads, engine, now
                )
                if plan is not None:
                    state.find_engine(plan.endpoint).ordering = True
                    available.remove(plan.endpoint)
                    group.start_soon(self._orderer.carry_out, plan)

    def _republish_holders(
        self, holders: list[endpoints.Endpoint], demand: loadstate.Demand
    ) -> None:
        """Publish again which engines hold an adapter.

        The VM that asked for the adapter seems unaware of them.
        """
        for endpoint in holders:
            state = self._state.find_engine(endpoint)
            if demand.need not in state.pending:
                self._orderer.publish(
                    endpoint, demand.need, state.held[demand.need]
                )

    def _compute_relative_loads(
        self, candidates: list[endpoints.Endpoint]
    ) -> dict[str, float]:
        """Return the requests in progress by engine, relative to the mean."""
        view = placement.View(
            self.board.traffic.value, self.board.membership.value.active, "", 0
        )
        active = {
            item.identity: view.count_active(item) for item in candidates
        }
        mean = (
            sum(active.values()) / max(1, len(active)) + LOAD_OFFSET_REQUESTS
        )
        return {identity: count / mean for identity, count in active.items()}

    def _plan_models(
        self,
        group: abc.TaskGroup,
        service: routes.Service,
        engine: routes.Engine,
        now: float,
    ) -> None:
        """Load the base model on engines without it, within the rate limit."""
        if not engine.models:
            return
        model = engine.models[0]
        recent = [
            at
            for at in self._state.model_loads
            if now - at < MODEL_LOAD_WINDOW_S
        ]
        self._state.model_loads = recent
        allowed = engine.loads_per_s * MODEL_LOAD_WINDOW_S * MODEL_LOAD_SHARE
        for endpoint in self.board.endpoints.value.list_service(service.name):
            if endpoint.models or not loading.can_order(
                endpoint, self._state, now
            ):
                continue
            if len(recent) + 1 > allowed:
                return
            recent.append(now)
            state = self._state.find_engine(endpoint)
            state.ordering = True
            state.loading_until = now + MODEL_LOAD_FACTOR * model.load_s
            group.start_soon(self._orderer.load_model, endpoint, model.name)

    def _finish_loads(self, now: float) -> None:
        """Announce the adapters whose loads are expected to be complete."""
        for identity, state in self._state.engines.items():
            completed = [
                need for need, due in state.pending.items() if due <= now
            ]
            endpoint = self.board.endpoints.value.by_identity.get(identity)
            for need in completed:
                del state.pending[need]
                if endpoint is not None:
                    if state.loaded_at.get(need, 0.0) < now - loading.FRESH_S:
                        self._state.times.note_announced(
                            state.kinds.get(need, loadtimes.UNKNOWN_KIND)
                        )
                    state.loaded_at[need] = now
                    self._orderer.publish(
                        endpoint, need, state.held.get(need, 1)
                    )

    def _start_checks(self, group: abc.TaskGroup, now: float) -> None:
        table = self.board.endpoints.value.by_identity
        for identity, state in list(self._state.engines.items()):
            endpoint = table.get(identity)
            if endpoint is None:
                del self._state.engines[identity]
            elif (
                state.check_at is not None
                and state.check_at <= now
                and not state.ordering
            ):
                state.ordering = True
                group.start_soon(self._orderer.check, endpoint, state)
