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
from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.entry import routes
from bronzetrack.entry.admission import switch as admission_switch
from bronzetrack.entry.copies import demands as copy_demands
from bronzetrack.entry.copies import recording as copy_recording
from bronzetrack.entry.loads import loading
from bronzetrack.entry.loads import loadstate
from bronzetrack.entry.loads import loadtimes
from bronzetrack.entry.loads import ordering
from bronzetrack.entry.loads import placement

# Longest time between two planning passes.
BUSY_INTERVAL_S = 0.05
# Longest time between two planning passes while no adapter is in use or in
# demand.
IDLE_INTERVAL_S = 0.25
# Longest time between two planning passes of a VM without the lease, which
# plans nothing.
FOLLOWER_INTERVAL_S = 1.0
# Time between two removals of outdated state by the holder of the lease.
CLEANUP_INTERVAL_S = 1.0
# A demand that no VM repeats within this time is dropped.
DEMAND_TTL_S = 1.0
# An engine that a VM could not reach gets no orders for this time.
UNREACHABLE_S = 0.6
# Shortest pause between two planning passes, because demands arrive in bursts.
PLANNING_PAUSE_S = 0.004
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
        self._order_executor = ordering.OrderExecutor(
            self.board,
            self.ports.engine_client,
            self.read_clock,
            lambda: self.write(self.board.loading, self._state),
        )

    async def run(self) -> None:
        """Run planning passes until cancelled."""
        section = self.board.loading
        async with anyio.create_task_group() as group:
            while True:
                await blackboard.wait_any(
                    self.board.load_requests.is_not_empty(),
                    section.is_newer(section.revision),
                    self.board.lease.is_newer(self.board.lease.revision),
                    timeout_ms=self._compute_pause_ms(self.read_clock()),
                )
                self._run_planning_pass(group, self.read_clock())
                await anyio.sleep(PLANNING_PAUSE_S)

    def _compute_pause_ms(self, now: float) -> int:
        """Return the time until a load, a report or a pass is due, in ms."""
        engines = self._state.engines.values()
        held = self.board.lease.value.is_held(now)
        loads = (engine.pending.values() for engine in engines)
        reports = (
            engine.report_due_at
            for engine in engines
            if held
            and engine.report_due_at is not None
            and not engine.call_pending
        )
        due = min(itertools.chain(*loads, reports), default=math.inf)
        interval_s = (
            self._choose_interval(now) if held else FOLLOWER_INTERVAL_S
        )
        return math.ceil(1000 * max(0.0, min(interval_s, due - now)))

    def _choose_interval(self, now: float) -> float:
        """Return the longest time between two passes of the lease holder."""
        peer_table = self.board.membership.value.peer_table
        in_use = any(
            item.uses for item in self.board.traffic.value.by_identity.values()
        ) or any(item.uses for item in peer_table.list_alive(now))
        return (
            BUSY_INTERVAL_S
            if in_use or self._state.demands
            else IDLE_INTERVAL_S
        )

    @property
    def _state(self) -> loadstate.LoadingState:
        return self.board.loading.value

    def _run_planning_pass(self, group: abc.TaskGroup, now: float) -> None:
        load_requests = self.board.load_requests.take()
        if not self.board.lease.value.is_held(now):
            self._end_term(now)
            return
        if self._state.ended:
            # Another VM may have given orders in the meantime.
            self.write(self.board.loading, loadstate.LoadingState())
        if self._state.started_at is None:
            self._state.started_at = now
        for load_request in load_requests:
            self._record_load_request(load_request, now)
        self._record_uses(now)
        self._finish_loads(now)
        self._plan(group, now)
        if now - self._state.pruned_at > CLEANUP_INTERVAL_S:
            self._state.prune(now)

    def _end_term(self, now: float) -> None:
        """Announce loads that complete, and reset the state after the last."""
        if self._state.started_at is None:
            return
        self._state.ended = True
        self._finish_loads(now)
        if not any(item.pending for item in self._state.engines.values()):
            self.write(self.board.loading, loadstate.LoadingState())

    def _record_load_request(
        self, load_request: messages.LoadRequest, now: float
    ) -> None:
        model_key = (load_request.model, load_request.adapter)
        if load_request.unreachable:
            self._mark_unreachable(load_request.unreachable, now)
        if load_request.missing:
            self._handle_missing(load_request, model_key, now)
        if load_request.vm != self.board.settings.vm:
            requesters = self._state.requesters.setdefault(model_key, set())
            requesters.add(load_request.vm)
        key = (load_request.service, model_key)
        demand = self._state.demands.get(key)
        if demand is None:
            demand = loadstate.Demand(
                load_request.service,
                model_key,
                load_request.version,
                load_request.copies,
                deadline=-math.inf,
                last_at=now,
                since=now,
            )
            self._state.demands[key] = demand
        demand.last_at = now
        demand.update_deadline(
            now + load_request.slack_ms / 1000,
            now + self._state.estimate_first_event_delay(),
        )
        demand.version = max(demand.version, load_request.version)
        demand.copies = max(demand.copies, load_request.copies)
        demand.recent.append((now, load_request.copies))

    def _mark_unreachable(self, identity: str, now: float) -> None:
        endpoint = self.board.endpoints.value.by_identity.get(identity)
        if endpoint is not None:
            state = self._state.get_or_create_engine(endpoint)
            state.unreachable_until = now + UNREACHABLE_S

    def _handle_missing(
        self,
        load_request: messages.LoadRequest,
        model_key: endpoints.ModelKey,
        now: float,
    ) -> None:
        endpoint = self.board.endpoints.value.by_identity.get(
            load_request.missing
        )
        if endpoint is None:
            return
        state = self._state.get_or_create_engine(endpoint)
        if not state.is_order_unanswered(model_key):
            self._check_missing(state, model_key, now)
        self._order_executor.publish(endpoint, model_key, 0)

    def _check_missing(
        self,
        state: loadstate.EngineState,
        model_key: endpoints.ModelKey,
        now: float,
    ) -> None:
        """Wait longer for a load announced too early, or request a report."""
        loaded_at = state.loaded_at.get(model_key)
        if (
            loaded_at is not None
            and now - loaded_at < loading.EARLY_REJECTION_S
        ):
            self._state.times.record_early(
                state.kinds.get(model_key, loadtimes.UNKNOWN_KIND)
            )
            state.pending[model_key] = now + LOAD_RECHECK_S
        elif model_key in state.held and state.report_due_at is None:
            state.report_due_at = now + ordering.REPORT_LAG_S

    def _record_uses(self, now: float) -> None:
        uses: collections.Counter[tuple[str, endpoints.ModelKey]] = (
            collections.Counter()
        )
        for identity, item in self.board.traffic.value.by_identity.items():
            for model_key in item.uses:
                uses[(identity, model_key)] += 1
        peer_table = self.board.membership.value.peer_table
        for peer in peer_table.list_alive(now):
            for identity, model, adapter in peer.uses:
                uses[(identity, (model, adapter))] += 1
        self._state.record_uses(uses, now)

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
        engine_capacity: routes.EngineCapacity,
        now: float,
    ) -> None:
        """Start loads of adapters by urgency while engines can take them."""
        state = self._state
        candidates = self.board.endpoints.value.list_service(service)
        available = [
            item
            for item in candidates
            if loading.accepts_orders(item, state, now)
            and loading.has_available_slot(item, state, engine_capacity, now)
        ]
        active = self._count_active(candidates)
        relative_requests = _compute_relative_requests(active)
        for ranked in self._sort_demands(service, candidates, active, now):
            demand, holders = ranked.demand, ranked.holders
            key = (service, demand.model_key)
            if now - demand.last_at > DEMAND_TTL_S:
                del state.demands[key]
            elif len(holders) >= ranked.copies:
                self._end_demand(ranked, now)
            elif available:
                fitting = loading.select_load_candidates(
                    available,
                    candidates,
                    holders,
                    demand,
                    state,
                    now,
                    ranked.is_hot,
                )
                plan = loading.plan_load(
                    fitting,
                    demand,
                    state,
                    relative_requests,
                    engine_capacity,
                    now,
                )
                if plan is not None:
                    available.remove(plan.endpoint)
                    self._start_load(group, plan, ranked, now)

    def _sort_demands(
        self,
        service: str,
        candidates: list[endpoints.Endpoint],
        active: dict[str, int],
        now: float,
    ) -> list[copy_demands.RankedDemand]:
        """Return the demands for a service in the order of their loads.

        :param active: requests in progress by engine
        """
        state = self._state
        demands = [
            item for item in state.demands.values() if item.service == service
        ]
        first_event_delay_s = state.estimate_first_event_delay()
        if not self._is_by_waiting():
            return [
                copy_demands.RankedDemand(
                    item,
                    loading.list_holders(candidates, item, state, now),
                    item.copies,
                )
                for item in loading.sort_demands(
                    demands, first_event_delay_s, now
                )
            ]
        fleet_load = copy_demands.FleetLoad(
            active,
            state.uses,
            self.board.membership.value.peer_table.count_vms(now),
        )
        found = (
            copy_demands.rank_demand(item, candidates, state, fleet_load, now)
            for item in demands
        )
        return copy_demands.sort_demands(
            found, first_event_delay_s, state.planned_loads, now
        )

    def _is_by_waiting(self) -> bool:
        """Return whether loads are ordered by the requests that wait."""
        return admission_switch.applies(
            self.board.settings.admission,
            self.board.rules.value.configuration,
        )

    def _start_load(
        self,
        group: abc.TaskGroup,
        plan: loading.Plan,
        ranked: copy_demands.RankedDemand,
        now: float,
    ) -> None:
        """Start the load of an adapter that was planned."""
        state = self._state.get_or_create_engine(plan.endpoint)
        state.call_pending = True
        if self._is_by_waiting():
            state.planned = (plan.model_key, plan.version)
            self._state.planned_loads += 1
            if ranked.holders:
                self._state.record_grant(plan.model_key, ranked.copies, now)
            copy_recording.record_load(plan, ranked, now)
        group.start_soon(self._order_executor.execute, plan)

    def _end_demand(
        self, ranked: copy_demands.RankedDemand, now: float
    ) -> None:
        """Discard a demand that is met, unless a load is only planned."""
        state, demand = self._state, ranked.demand
        if any(
            state.get_or_create_engine(item).is_planned(
                demand.model_key, demand.version
            )
            for item in ranked.holders
        ):
            return
        if (
            demand.copies == 1
            or not self._is_by_waiting()
            or state.may_republish(demand.model_key, now)
        ):
            self._republish_holders(ranked.holders, demand)
        del state.demands[(demand.service, demand.model_key)]

    def _republish_holders(
        self, holders: list[endpoints.Endpoint], demand: loadstate.Demand
    ) -> None:
        """Publish again which engines hold an adapter.

        The VM that asked for the adapter seems unaware of them.
        """
        for endpoint in holders:
            state = self._state.get_or_create_engine(endpoint)
            if demand.model_key not in state.pending:
                self._order_executor.publish(
                    endpoint, demand.model_key, state.held[demand.model_key]
                )

    def _count_active(
        self, candidates: list[endpoints.Endpoint]
    ) -> dict[str, int]:
        """Return the requests in progress of all VMs by engine."""
        traffic = self.board.traffic.value
        others = self.board.membership.value.active
        return {
            item.identity: placement.count_active(
                traffic, others, item.identity
            )
            for item in candidates
        }

    def _plan_models(
        self,
        group: abc.TaskGroup,
        service: routes.Service,
        engine_capacity: routes.EngineCapacity,
        now: float,
    ) -> None:
        """Load the base model on engines without it, within the rate limit."""
        if not engine_capacity.models:
            return
        model = engine_capacity.models[0]
        recent = [
            at
            for at in self._state.model_loads
            if now - at < MODEL_LOAD_WINDOW_S
        ]
        self._state.model_loads = recent
        allowed = (
            engine_capacity.loads_per_s
            * MODEL_LOAD_WINDOW_S
            * MODEL_LOAD_SHARE
        )
        for endpoint in self.board.endpoints.value.list_service(service.name):
            if endpoint.models or not loading.accepts_orders(
                endpoint, self._state, now
            ):
                continue
            if len(recent) + 1 > allowed:
                return
            recent.append(now)
            state = self._state.get_or_create_engine(endpoint)
            state.call_pending = True
            state.loading_until = now + MODEL_LOAD_FACTOR * model.load_s
            group.start_soon(
                self._order_executor.load_model, endpoint, model.name
            )

    def _finish_loads(self, now: float) -> None:
        """Announce the adapters whose loads are expected to be complete."""
        for identity, state in self._state.engines.items():
            completed = [
                model_key
                for model_key, due in state.pending.items()
                if due <= now
            ]
            endpoint = self.board.endpoints.value.by_identity.get(identity)
            for model_key in completed:
                del state.pending[model_key]
                if endpoint is not None:
                    if (
                        state.loaded_at.get(model_key, 0.0)
                        < now - loading.EARLY_REJECTION_S
                    ):
                        self._state.times.record_timely(
                            state.kinds.get(model_key, loadtimes.UNKNOWN_KIND)
                        )
                    state.loaded_at[model_key] = now
                    self._order_executor.publish(
                        endpoint, model_key, state.held.get(model_key, 1)
                    )

    def _start_checks(self, group: abc.TaskGroup, now: float) -> None:
        table = self.board.endpoints.value.by_identity
        for identity, state in list(self._state.engines.items()):
            endpoint = table.get(identity)
            if endpoint is None:
                del self._state.engines[identity]
            elif (
                state.report_due_at is not None
                and state.report_due_at <= now
                and not state.call_pending
            ):
                state.call_pending = True
                group.start_soon(
                    self._order_executor.refresh_state, endpoint, state
                )


def _compute_relative_requests(active: dict[str, int]) -> dict[str, float]:
    """Return the requests in progress by engine, relative to the mean."""
    mean = sum(active.values()) / max(1, len(active)) + LOAD_OFFSET_REQUESTS
    return {identity: count / mean for identity, count in active.items()}
