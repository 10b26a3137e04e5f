"""Replay of arrivals and faults through the dispatch decisions of an owner."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import ClassVar
from typing import Protocol

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.core import registry
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import events
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.dispatch import transitions
from bronzetrack.endpoints import reports
from bronzetrack.ownership import leases
from bronzetrack.streaming import messages

NAME = "dispatch"
# A dispatch trace covers one endpoint and the VM that owns it.
ENDPOINT = "endpoint"
OWNER = "owner"
LOAD_PERMITS = 2


class Event(Protocol):
    """An event at the owner or at its endpoint."""

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        """Apply the event to the replayed state of the owner.

        :param at_ms: monotonic time of the event
        """


EVENTS: registry.Registry[type[Event]] = registry.Registry(
    "events of dispatch traces"
)


@attrs.define
class DispatchCore:
    """Replays the dispatch to one endpoint.

    The results are the state or end of each attempt, the phase of each
    resident adapter version, and the list of all orders.

    :param ended: outcome of each attempt that ended
    :param orders: orders in the sequence in which they were given
    """

    events: ClassVar[registry.Registry[type[Event]]] = EVENTS

    endpoint: inventories.Endpoint = attrs.field(
        factory=lambda: inventories.Endpoint("", 0, "")
    )
    ownership: leases.OwnershipState = attrs.field(
        factory=lambda: claim_endpoint(leases.OwnershipState(), 0)
    )
    queue: states.EndpointQueue = attrs.field(factory=states.EndpointQueue)
    ended: dict[str, str] = attrs.field(factory=dict)
    orders: list[str] = attrs.field(factory=list)

    def apply(self, at_ms: int, offset: int, record: Event) -> None:
        record.apply(self, at_ms)
        self._apply_plan(at_ms)

    def get_outcomes(self) -> Mapping[str, Any]:
        waiting = {item.work.attempt: "waiting" for item in self.queue.waiting}
        running = dict.fromkeys(self.queue.running, "running")
        residents = {
            adapter: resident.phase.value
            for adapter, resident in self.queue.residents.items()
        }
        return {
            **self.ended,
            **waiting,
            **running,
            **residents,
            "orders": self.orders,
        }

    def _apply_plan(self, now_ms: int) -> None:
        """Carry out the dispatch plan as the dispatch controller does."""
        plan = planner.plan_endpoint(
            self.queue, self._make_context(now_ms), now_ms
        )
        for attempt, failure in plan.refuse:
            self.ended[attempt] = f"refused: {failure.reason.value}"
        refused = [attempt for attempt, _ in plan.refuse]
        self.queue = transitions.remove_waiting(self.queue, refused)
        if plan.fence is not None:
            self.queue = transitions.record_fence_sent(self.queue, now_ms)
            self._record_order(now_ms, "fence", plan.fence)
        for attempt in plan.start:
            self.queue = transitions.start(self.queue, attempt, now_ms)
            self._record_order(now_ms, "start", attempt)
        for kind, adapters, phase in (
            ("load", plan.loads.load, states.ResidentPhase.LOADING),
            ("unload", plan.loads.unload, states.ResidentPhase.UNLOADING),
        ):
            for adapter in adapters:
                self.queue = transitions.set_resident(
                    self.queue, adapter, phase, now_ms
                )
                self._record_order(now_ms, kind, adapter)

    def _record_order(self, now_ms: int, kind: str, name: str) -> None:
        self.orders.append(f"{now_ms} {kind} {name}")

    def _make_context(self, now_ms: int) -> contexts.EndpointContext:
        loading = sum(
            resident.phase is states.ResidentPhase.LOADING
            for resident in self.queue.residents.values()
        )
        return contexts.EndpointContext(
            endpoint=self.endpoint,
            rules=rule_sets.Rules(),
            leaving=self.queue.leaving,
            may_start=leases.may_dispatch(self.ownership, now_ms),
            may_load=self.queue.boot != "",
            may_unload=leases.may_order(
                self.ownership,
                ENDPOINT,
                OWNER,
                self.endpoint.checks_fencing,
                now_ms,
            ),
            load_permits=LOAD_PERMITS - loading,
        )


@EVENTS.register("claimed")
@attrs.frozen
class Claimed:
    """The owner claimed the endpoint."""

    slots: int = 8
    adapter_slots: int = 8
    checks_fencing: bool = False

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        core.endpoint = attrs.evolve(
            core.endpoint,
            slots=self.slots,
            adapter_slots=self.adapter_slots,
            checks_fencing=self.checks_fencing,
        )
        core.ownership = claim_endpoint(core.ownership, at_ms)


@EVENTS.register("lease")
@attrs.frozen
class Lease:
    """The lease of the owner or the reachability of the log changed.

    :param held_until_ms: monotonic time until which the lease is held
    """

    held_until_ms: int
    log_reachable: bool = True

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        core.ownership = attrs.evolve(
            core.ownership,
            held_until_ms=self.held_until_ms,
            log_reachable=self.log_reachable,
        )


@EVENTS.register("arrival")
@attrs.frozen
class Arrival:
    """Work arrived at the owner.

    :param adapter: adapter version, empty for a plain service
    :param isolated: whether the work has to run alone on the endpoint
    """

    attempt: str
    adapter: str = ""
    timeout_ms: int = 60_000
    isolated: bool = False

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        work = messages.SubmitWork(
            attempt=self.attempt,
            request=self.attempt,
            endpoint=ENDPOINT,
            member="member",
            adapter=self.adapter,
            work_class="normal",
            method="POST",
            path="/v1/completions",
            body=b"",
            timeout_ms=self.timeout_ms,
            isolated=self.isolated,
        )
        item = states.Waiting(work, OWNER, at_ms)
        core.queue = transitions.enqueue(core.queue, item)


@EVENTS.register("report")
@attrs.frozen
class Report:
    """The owner read a status report of the endpoint.

    :param boot: boot value of the engine; a new value means a restart
    """

    boot: str
    loaded: tuple[str, ...] = ()
    running: Mapping[str, int] = attrs.field(factory=dict)
    leaving: bool = False

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        owned_ms = at_ms - core.ownership.owners[ENDPOINT].claimed_ms
        report = reports.LoadReport(
            self.boot, 0, self.running, self.loaded, leaving=self.leaving
        )
        core.queue = transitions.apply_report(
            core.queue, report, owned_ms, at_ms
        )


@EVENTS.register("lost")
@attrs.frozen
class Lost:
    """The endpoint did not answer when the owner read its status report."""

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        failure = failures.Failure(failures.Reason.ENDPOINT_UNREACHABLE)
        core.queue = transitions.update_reachability(core.queue, failure)


@EVENTS.register("run_ended")
@attrs.frozen
class RunEnded:
    """A run ended, or its end arrived late.

    :param reason: why the run did not complete, None if it completed
    """

    attempt: str
    reason: failures.Reason | None = None

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        if self.attempt in core.queue.running:
            reason = self.reason
            core.ended[self.attempt] = reason.value if reason else "completed"
        event = events.RunEnded(
            ENDPOINT, self.attempt, make_failure(self.reason)
        )
        core.queue = transitions.end_run(core.queue, event, at_ms)


@EVENTS.register("load_ended")
@attrs.frozen
class LoadEnded:
    """An order to load an adapter ended.

    :param reason: why the order failed, None if it succeeded
    """

    adapter: str
    reason: failures.Reason | None = None

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        event = events.LoadEnded(
            ENDPOINT, self.adapter, make_failure(self.reason)
        )
        core.queue = transitions.end_load(core.queue, event, at_ms)


@EVENTS.register("unload_ended")
@attrs.frozen
class UnloadEnded:
    """An order to unload an adapter ended.

    :param reason: why the order failed, None if it succeeded
    """

    adapter: str
    reason: failures.Reason | None = None

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        event = events.UnloadEnded(
            ENDPOINT, self.adapter, make_failure(self.reason)
        )
        core.queue = transitions.end_unload(core.queue, event, at_ms)


@EVENTS.register("time")
@attrs.frozen
class TimePassed:
    """Time passed without any other event."""

    def apply(self, core: DispatchCore, at_ms: int) -> None:
        """Do nothing, so that only the passed time has an effect."""


def make_failure(
    reason: failures.Reason | None,
) -> failures.Failure | None:
    """Return a failure with the reason, None if there is no reason."""
    return None if reason is None else failures.Failure(reason)


def claim_endpoint(
    state: leases.OwnershipState, now_ms: int
) -> leases.OwnershipState:
    """Return the state after the owner claimed the endpoint."""
    owner = leases.Ownership(OWNER, OWNER, 0, now_ms)
    return attrs.evolve(state, owners={ENDPOINT: owner})
