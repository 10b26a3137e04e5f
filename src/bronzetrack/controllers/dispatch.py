"""Controller that queues and dispatches work and loads adapters."""

from __future__ import annotations

from typing import Any

import anyio
import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.controllers import orders
from bronzetrack.controllers import permits
from bronzetrack.controllers import placements
from bronzetrack.controllers import runs
from bronzetrack.core import blackboard
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.core import messages as core_messages
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import deadlines
from bronzetrack.dispatch import events
from bronzetrack.dispatch import loads
from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.dispatch import transitions
from bronzetrack.limits import admission
from bronzetrack.limits import messages as limit_messages
from bronzetrack.limits import usage
from bronzetrack.metrics import counters
from bronzetrack.ownership import leases
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes


@controllers.CONTROLLERS.register("dispatch")
class DispatchController(controllers.Controller):
    """Manages the queue of each endpoint that this VM owns.

    The controller admits work, loads and evicts adapter versions, and
    dispatches the work to the endpoints.
    """

    name = "dispatch"

    async def run(self) -> None:
        self._cancel_scopes: dict[str, anyio.CancelScope] = {}
        self._decayed_ms = self.read_clock().monotonic_ms
        self._placements = placements.Placements(self.board)
        self._permits = permits.LoadPermits(self.board, self.ports, self.name)
        async with anyio.create_task_group() as group:
            self._group = group
            self._orders = orders.EndpointOrders(self.board, self.ports, group)
            group.start_soon(self._orders.poll_reports)
            await self._run_steps()

    async def _run_steps(self) -> None:
        work = self.board.mailboxes["work"]
        run_mailbox = self.board.mailboxes["runs"]
        while True:
            await self._wait_until_due()
            now_ms = self.read_clock().monotonic_ms
            self._refill_and_decay(now_ms)
            self._update_queues()
            self._placements.refresh(now_ms)
            for delivery in work.take():
                self._receive(delivery, now_ms)
            for event in run_mailbox.take():
                self._apply_event(event, now_ms)
            remote_usage = usage.sum_usage(
                vm.usage for vm in self.board.membership.value.vms.values()
            )
            permit_shortfall = sum(
                self._plan_and_execute(
                    name, remote_usage, now_ms
                ).permit_shortfall
                for name in list(self.board.dispatch.value.endpoints)
            )
            self._permits.request(permit_shortfall, now_ms)

    async def _wait_until_due(self) -> None:
        """Wait until a step may be due.

        That is the case when messages or events have arrived, when owners,
        leaving VMs or the configuration changed, or after a time-out.
        """
        owners = self.board.ownership.value.owners
        leaving = self.board.membership.value.listed_leaving
        configuration = self.board.configuration.value.configuration
        await blackboard.wait_any(
            self.board.mailboxes["work"].is_not_empty(),
            self.board.mailboxes["runs"].is_not_empty(),
            self.board.ownership.satisfies(lambda it: it.owners is not owners),
            self.board.membership.satisfies(
                lambda it: it.listed_leaving is not leaving
            ),
            self.board.configuration.satisfies(
                lambda it: it.configuration is not configuration
            ),
            timeout_ms=deadlines.get_step_timeout(
                self.board.dispatch.value,
                self.board.permits.value,
                self.read_clock().monotonic_ms,
            ),
        )

    def _refill_and_decay(self, now_ms: int) -> None:
        self._permits.refill(now_ms)
        state = self.board.dispatch.value
        decayed = usage.decay(state.usage, now_ms - self._decayed_ms)
        self._decayed_ms = now_ms
        if decayed != state.usage:
            self.write(self.board.dispatch, attrs.evolve(state, usage=decayed))

    def _update_queues(self) -> None:
        """Add queues for newly owned endpoints, and drop those of lost ones.

        The queue of a lost endpoint is kept while it is busy.
        """
        owned = set(
            leases.list_owned(
                self.board.ownership.value, self.board.incarnation
            )
        )
        state = self.board.dispatch.value
        kept = {
            name: queue
            for name, queue in state.endpoints.items()
            if name in owned or queue.is_busy
        }
        added = {name: states.EndpointQueue() for name in owned - kept.keys()}
        if added or len(kept) != len(state.endpoints):
            state = attrs.evolve(state, endpoints={**kept, **added})
            self.write(self.board.dispatch, state)
        # No adapter is loaded before the first status report, and the next
        # poll may be a second away.
        for name in added:
            self._group.start_soon(self._orders.read_report, name)

    def _set_queue(self, name: str, queue: states.EndpointQueue) -> None:
        state = self.board.dispatch.value
        endpoints = {**state.endpoints, name: queue}
        self.write(
            self.board.dispatch, attrs.evolve(state, endpoints=endpoints)
        )

    def _get_endpoint(self, name: str) -> inventories.Endpoint | None:
        inventory = self.board.configuration.value.configuration.inventory
        return inventory.endpoints.get(name)

    def _receive(self, delivery: core_messages.Delivery, now_ms: int) -> None:
        match delivery.message:
            case messages.SubmitWork():
                self._accept(delivery.message, delivery.sender, now_ms)
            case messages.CancelWork():
                self._cancel(delivery.message.attempt)
            case limit_messages.TokenRequest() | limit_messages.TokenGrant():
                self._permits.receive(delivery.sender, delivery.message)

    def _accept(
        self, work: messages.SubmitWork, sender: str, now_ms: int
    ) -> None:
        endpoint = self._get_endpoint(work.endpoint)
        if endpoint is not None and work.resume_of is not None:
            self._start_run(work, sender, endpoint)
            return
        queue = self.board.dispatch.value.endpoints.get(work.endpoint)
        failure = self._check_admission(work, queue)
        if queue is None or failure is not None:
            self._refuse(work, sender, failure)
            return
        item = states.Waiting(work, sender, now_ms)
        self._set_queue(work.endpoint, transitions.enqueue(queue, item))

    def _check_admission(
        self, work: messages.SubmitWork, queue: states.EndpointQueue | None
    ) -> failures.Failure | None:
        endpoint = self._get_endpoint(work.endpoint)
        if queue is None or endpoint is None:
            return failures.Failure(
                failures.Reason.NO_OWNER, "not the owner of the endpoint"
            )
        return admission.check_admission(
            admission.Admission(
                work,
                queue,
                self.board.configuration.value.configuration.rules,
                endpoint.slots,
                self.board.settings.limits.queue_requests,
            )
        )

    def _refuse(
        self,
        work: messages.SubmitWork,
        sender: str,
        failure: failures.Failure | None,
    ) -> None:
        end = messages.AnswerEnd(
            work.attempt, outcomes.Outcome.REFUSED, failure=failure
        )
        self.ports.peers.send(sender, end)

    def _cancel(self, attempt: str) -> None:
        scope = self._cancel_scopes.get(attempt)
        if scope is not None:
            scope.cancel()
            return
        for name, queue in self.board.dispatch.value.endpoints.items():
            if any(item.work.attempt == attempt for item in queue.waiting):
                self._set_queue(
                    name, transitions.remove_waiting(queue, {attempt})
                )
                return

    def _apply_event(self, event: Any, now_ms: int) -> None:
        if isinstance(event, events.RunEnded):
            self._cancel_scopes.pop(event.attempt, None)
        queue = self.board.dispatch.value.endpoints.get(event.endpoint)
        if queue is None:
            return
        match event:
            case events.RunEnded():
                queue = transitions.end_run(queue, event, now_ms)
            case events.ChunksForwarded():
                pace = paces.observe(queue.pace, event.chunk_ms, now_ms)
                queue = attrs.evolve(queue, pace=pace)
            case events.LoadEnded():
                counters.count_load(event.failure)
                queue = transitions.end_load(queue, event, now_ms)
            case events.UnloadEnded():
                counters.count_eviction(event.failure)
                queue = transitions.end_unload(queue, event, now_ms)
            case events.FenceEnded():
                queue = transitions.end_fence(queue, event)
            case events.ReportReadEnded():
                queue = self._apply_report(queue, event, now_ms)
        self._set_queue(event.endpoint, queue)

    def _apply_report(
        self,
        queue: states.EndpointQueue,
        event: events.ReportReadEnded,
        now_ms: int,
    ) -> states.EndpointQueue:
        if isinstance(event.report, failures.Failure):
            return transitions.update_reachability(queue, event.report)
        owner = self.board.ownership.value.owners.get(event.endpoint)
        owned_ms = 0 if owner is None else now_ms - owner.claimed_ms
        return transitions.apply_report(queue, event.report, owned_ms, now_ms)

    def _plan_and_execute(
        self, name: str, remote_usage: dict[str, float], now_ms: int
    ) -> loads.LoadPlan:
        """Plan the work of an endpoint and execute the plan.

        :param remote_usage: recent cost by member, summed over the other VMs
        :returns: the planned loads and evictions
        """
        endpoint = self._get_endpoint(name)
        if endpoint is None:
            return loads.LoadPlan()
        queue = transitions.classify_pace(
            self.board.dispatch.value.endpoints[name],
            self._placements.get(name).paces,
            endpoint.slots,
            now_ms,
        )
        if queue is not self.board.dispatch.value.endpoints[name]:
            self._set_queue(name, queue)
        context = self._make_context(name, endpoint, remote_usage, now_ms)
        plan = planner.plan_endpoint(queue, context, now_ms)
        self._send_refusals(name, plan)
        if plan.fence is not None:
            queue = self.board.dispatch.value.endpoints[name]
            self._set_queue(name, transitions.record_fence_sent(queue, now_ms))
            self._orders.fence(name, endpoint, plan.fence)
        for attempt in plan.start:
            self._start_attempt(name, endpoint, attempt, now_ms)
        for adapter in plan.loads.load:
            self._set_phase(
                name, adapter, states.ResidentPhase.LOADING, now_ms
            )
            self._permits.take()
            self._orders.load(name, endpoint, adapter)
        for adapter in plan.loads.unload:
            self._set_phase(
                name, adapter, states.ResidentPhase.UNLOADING, now_ms
            )
            self._orders.unload(name, endpoint, adapter)
        return plan.loads

    def _make_context(
        self,
        name: str,
        endpoint: inventories.Endpoint,
        remote_usage: dict[str, float],
        now_ms: int,
    ) -> contexts.EndpointContext:
        state = self.board.dispatch.value
        ownership = self.board.ownership.value
        may_start = leases.may_dispatch(ownership, now_ms)
        return contexts.EndpointContext(
            endpoint=endpoint,
            rules=self.board.configuration.value.configuration.rules,
            leaving=self._is_leaving(name, endpoint),
            may_start=may_start,
            superseded=ownership.standing is not leases.Standing.SOLE,
            may_load=may_start and state.endpoints[name].boot != "",
            may_unload=leases.may_order(
                ownership,
                name,
                self.board.incarnation,
                endpoint.checks_fencing,
                now_ms,
            ),
            load_permits=self._permits.count(),
            placement=self._placements.get(name),
            quotas=self._placements.quotas,
            may_prefetch=self.board.permits.value.may_prefetch(),
            usage=usage.sum_usage((state.usage, remote_usage)),
        )

    def _is_leaving(self, name: str, endpoint: inventories.Endpoint) -> bool:
        """Return whether an endpoint is leaving according to any source.

        The sources are the configuration, the status reports and the
        platform's list.
        """
        return (
            endpoint.leaving
            or self.board.dispatch.value.endpoints[name].leaving
            or name in self.board.membership.value.listed_leaving
        )

    def _send_refusals(self, name: str, plan: planner.Plan) -> None:
        queue = self.board.dispatch.value.endpoints[name]
        items = {item.work.attempt: item for item in queue.waiting}
        for attempt, failure in plan.refuse:
            item = items[attempt]
            self._refuse(item.work, item.sender, failure)
        refused = {attempt for attempt, _ in plan.refuse}
        if refused:
            self._set_queue(name, transitions.remove_waiting(queue, refused))

    def _start_attempt(
        self,
        name: str,
        endpoint: inventories.Endpoint,
        attempt: str,
        now_ms: int,
    ) -> None:
        queue = transitions.start(
            self.board.dispatch.value.endpoints[name], attempt, now_ms
        )
        self._set_queue(name, queue)
        item = queue.running[attempt]
        if queue.has_waiting_competitor(item.work.member):
            state = self.board.dispatch.value
            charged = usage.charge(
                state.usage, item.work.member, item.work.cost
            )
            self.write(self.board.dispatch, attrs.evolve(state, usage=charged))
        self._start_run(item.work, item.sender, endpoint)

    def _start_run(
        self,
        work: messages.SubmitWork,
        sender: str,
        endpoint: inventories.Endpoint,
    ) -> None:
        scope = anyio.CancelScope()
        self._cancel_scopes[work.attempt] = scope
        run = runs.Run(
            self.board, self.ports, self.read_clock, work, sender, endpoint
        )
        self._group.start_soon(run.execute, scope)

    def _set_phase(
        self,
        name: str,
        adapter: str,
        phase: states.ResidentPhase,
        now_ms: int,
    ) -> None:
        """Set the phase of an adapter before its order is sent."""
        queue = self.board.dispatch.value.endpoints[name]
        self._set_queue(
            name, transitions.set_resident(queue, adapter, phase, now_ms)
        )
