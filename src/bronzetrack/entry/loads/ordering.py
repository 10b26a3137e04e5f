"""Sends load and unload orders to engines and requests their reports."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import TYPE_CHECKING

import attrs

from bronzetrack.core import logevents
from bronzetrack.core import positions
from bronzetrack.core.eventtypes import engines as engine_events
from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry.loads import loading
from bronzetrack.entry.loads import loadstate
from bronzetrack.platform import orders

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.platform import documents

LOG = logging.getLogger(__name__)
# Reports are a few hundred milliseconds old.
REPORT_LAG_S = 0.35
# Interval at which an engine is asked for a report while it loads a base
# model. A load from the engine's own disk takes a fraction of the stated time.
MODEL_CHECK_S = 0.25
# Results of a load that the engine has accepted and not completed. If the
# count of its orders were wrong, it would refuse the next one.
STARTED_RESULTS = (
    orders.OrderResult.STARTED,
    orders.OrderResult.IN_PROGRESS,
)


class OrderExecutor:
    """Sends orders while the lease is held and updates the engines' state.

    :param notify: called when the state of the engines has changed
    """

    def __init__(
        self,
        board: boards.Blackboard,
        engine_client: orders.EngineClient,
        read_clock: Callable[[], float],
        notify: Callable[[], None],
    ) -> None:
        self._board = board
        self._engine_client = engine_client
        self._read_clock = read_clock
        self._notify = notify

    @property
    def _state(self) -> loadstate.LoadingState:
        return self._board.loading.value

    async def load_model(
        self, endpoint: endpoints.Endpoint, model: str
    ) -> None:
        """Order an engine to load a base model."""
        state = self._state.get_or_create_engine(endpoint)
        try:
            result = await self._send_order(endpoint, state, True, (model, ""))
        finally:
            state.call_pending = False
        if result in STARTED_RESULTS:
            state.report_due_at = self._read_clock() + MODEL_CHECK_S
            return
        state.loading_until = 0.0
        if result is orders.OrderResult.DONE:
            self.publish(endpoint, (model, ""), 1)

    async def execute(self, plan: loading.Plan) -> None:
        """Unload the victim of a plan, if any, and load its adapter."""
        endpoint = plan.endpoint
        state = self._state.get_or_create_engine(endpoint)
        try:
            if plan.victim is not None and not await self._unload(
                endpoint, state, plan.victim
            ):
                return
            await self._load_adapter(endpoint, state, plan)
        finally:
            state.call_pending = False
            state.planned = None
            self._notify()

    async def _unload(
        self,
        endpoint: endpoints.Endpoint,
        state: loadstate.EngineState,
        victim: endpoints.ModelKey,
    ) -> bool:
        """Order an engine to unload an adapter.

        :returns: whether the adapter's slot is free now
        """
        # The other VMs are informed first, so that no request for the adapter
        # is in flight to the engine when the engine no longer holds it.
        self.publish(endpoint, victim, 0)
        state.begin_unload(victim)
        result = await self._send_order(endpoint, state, False, victim)
        if result is orders.OrderResult.DONE:
            state.held.pop(victim, None)
            state.record_cached(victim)
            return True
        if result is orders.OrderResult.STARTED:
            state.unloading.add(victim)
            state.report_due_at = self._read_clock() + REPORT_LAG_S
        return False

    async def _load_adapter(
        self,
        endpoint: endpoints.Endpoint,
        state: loadstate.EngineState,
        plan: loading.Plan,
    ) -> None:
        version = plan.version if plan.version > 1 else None
        sent_at = self._read_clock()
        state.begin_load(plan.model_key, max(1, plan.version))
        state.planned = None
        try:
            result = await self._send_order(
                endpoint, state, True, plan.model_key, version
            )
        finally:
            del state.pending[plan.model_key]
        if result in STARTED_RESULTS:
            if result is orders.OrderResult.STARTED:
                sent_at = self._read_clock()
            kind = self._state.classify_load(state, plan.model_key)
            state.kinds[plan.model_key] = kind
            state.record_cached(plan.model_key)
            load_s = self._state.times.estimate(kind)
            state.pending[plan.model_key] = sent_at + load_s
        elif result is orders.OrderResult.DONE:
            self.publish(endpoint, plan.model_key, state.held[plan.model_key])

    async def _send_order(
        self,
        endpoint: endpoints.Endpoint,
        state: loadstate.EngineState,
        load: bool,
        model_key: endpoints.ModelKey,
        version: int | None = None,
    ) -> orders.OrderResult:
        """Send an order, and send it again at once if it gets no answer.

        Both tries state the same number of orders before them, so that the
        engine carries out at most one of them, also if one arrives late.
        """
        if not self._may_send(endpoint, state):
            return orders.OrderResult.REFUSED
        order = orders.Order(
            load, model_key[0], model_key[1], state.sequence, version
        )
        result = await self._try_order(endpoint, order)
        if result is orders.OrderResult.UNKNOWN and self._may_send(
            endpoint, state
        ):
            order = attrs.evolve(order, is_repeated=True)
            result = await self._try_order(endpoint, order)
        if result in STARTED_RESULTS or (
            result is orders.OrderResult.DONE and not load
        ):
            state.sequence += 1
        elif result is not orders.OrderResult.DONE:
            state.report_due_at = self._read_clock() + REPORT_LAG_S
        return result

    def _may_send(
        self, endpoint: endpoints.Endpoint, state: loadstate.EngineState
    ) -> bool:
        """Return whether this VM may give an order that it has decided on.

        It may not before it has renewed the lease in the era of the store.
        A VM that has lost the lease since then may have obtained it again. It
        then knows nothing of the orders that another VM has given.
        """
        lease = self._board.lease.value
        era = self._board.store_era.value.number
        return (
            lease.is_held(self._read_clock())
            and lease.is_proven
            and positions.get_era(lease.token) >= era
            and not self._state.ended
            and self._state.engines.get(endpoint.identity) is state
        )

    async def _try_order(
        self, endpoint: endpoints.Endpoint, order: orders.Order
    ) -> orders.OrderResult:
        # A renewal during the call raises the token of the lease.
        token = self._board.lease.value.token
        result = await self._engine_client.send_order(
            endpoint.address, endpoint.identity, order, token
        )
        operation = "load" if order.load else "unload"
        meters.ORDERS.labels(operation, result.value).inc()
        if result is orders.OrderResult.FENCED:
            self._board.refused_tokens.post(token)
        event = engine_events.OrderAnswered(
            endpoint=endpoint.identity,
            operation=operation,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            sequence=order.sequence,
            token=token,
            verdict=result.value,
            repeated=order.is_repeated,
        )
        logevents.log(LOG, event)
        return result

    def publish(
        self,
        endpoint: endpoints.Endpoint,
        model_key: endpoints.ModelKey,
        version: int,
    ) -> None:
        """Announce which version of a model or an adapter an engine holds.

        The VMs that requested it are informed before all others.

        :param version: version held, 0 for none
        """
        holding_change = messages.HoldingChange(
            endpoint.identity, *model_key, version
        )
        self._board.placed.post(holding_change)
        if version:
            for vm in self._state.requesters.pop(model_key, ()):
                addressed = messages.Addressed(vm, holding_change)
                self._board.outgoing.post(addressed)
        self._board.outgoing.post(holding_change)

    async def refresh_state(
        self, endpoint: endpoints.Endpoint, state: loadstate.EngineState
    ) -> None:
        """Replace the state of an engine by the content of its report."""
        try:
            report = await self._engine_client.fetch_report(
                endpoint.address, endpoint.identity
            )
        finally:
            state.call_pending = False
        now = self._read_clock()
        event = engine_events.EngineChecked(
            endpoint=endpoint.identity,
            sequence=report.sequence if report else None,
            busy=report.busy if report else None,
            held=len(report.adapters) if report else None,
            pending=len(report.pending) if report else None,
            expected=state.sequence,
        )
        logevents.log(LOG, event)
        if report is None:
            state.report_due_at = now + REPORT_LAG_S
            return
        if not report.models and now < state.loading_until:
            state.report_due_at = now + MODEL_CHECK_S
            return
        state.loading_until = 0.0
        state.report_due_at = None
        state.sequence = report.sequence
        state.held = dict.fromkeys(report.pending, 1) | report.adapters
        state.unloading &= set(state.held)
        state.prune()
        state.pending = {
            model_key: state.pending.get(model_key, now + REPORT_LAG_S)
            for model_key in report.pending
        }
        for model_key in state.held:
            state.record_cached(model_key)
        self._publish_report(endpoint, state, report)

    def _publish_report(
        self,
        endpoint: endpoints.Endpoint,
        state: loadstate.EngineState,
        report: documents.Report,
    ) -> None:
        """Announce to all VMs where a report differs from earlier ones."""
        for model_key in set(endpoint.adapters) - set(report.adapters):
            self.publish(endpoint, model_key, 0)
        for model_key, version in report.adapters.items():
            if model_key in state.unloading or model_key in state.pending:
                continue
            if endpoint.adapters.get(model_key) != version:
                self.publish(endpoint, model_key, version)
        for model, version in report.models.items():
            if model not in endpoint.models:
                self.publish(endpoint, (model, ""), version)
