"""What this VM knows of the engines that requests may wait for."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from bronzetrack.entry.admission import fullness
from bronzetrack.entry.admission import memory
from bronzetrack.entry.admission import ranking
from bronzetrack.entry.admission import state as states
from bronzetrack.entry.admission import switch
from bronzetrack.entry.costs import estimates
from bronzetrack.entry.costs import firstevents
from bronzetrack.entry.costs import state as cost_states
from bronzetrack.entry.loads import placement

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry import endpoints
    from bronzetrack.entry.forwarding import progress as progresses
    from bronzetrack.entry.forwarding import requests


@attrs.frozen
class FullEngine:
    """An engine that counts as full at present, and what is known of it."""

    identity: str
    full: fullness.Fullness
    report: fullness.Report


class EngineViews:
    """Reads the sections of the blackboard that admission control needs."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._read_clock = read_clock

    @property
    def state(self) -> states.AdmissionState:
        """Full engines, and the requests of this VM that wait."""
        return self._board.admission.value

    def applies(self, request: requests.Request, service: str) -> bool:
        """Return whether a request waits for engines that are full."""
        rules = self._board.rules.value
        found = rules.find_service(service)
        return (
            request.model_key is not None
            and found is not None
            and found.engine is not None
            and switch.applies(
                self._board.settings.admission, rules.configuration
            )
        )

    def fits(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        now: float,
    ) -> bool:
        """Return whether an engine has memory for a request."""
        state = self.state
        service = self._board.rules.value.find_service(endpoint.service)
        return memory.fits(
            memory.count_tokens(request),
            state.get_held(endpoint.identity),
            self._count_active(endpoint.identity),
            state.mean_tokens.estimate(endpoint.service, 0.0, now),
            service.kv_tokens if service is not None else 0,
        )

    def make_claim(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        now: float,
    ) -> ranking.Claim:
        """Return what decides when a request goes on."""
        costs = self._board.costs.value
        service = costs.services.get(progress.service)
        demand = estimates.describe_request(request, costs, now)
        if service is None:
            model, hits = firstevents.PRIOR, cost_states.PRIOR_HOME_HITS
        else:
            model = service.first_events.fit()
            hits = service.estimate_home_hits(now)
        unread = demand.prompt_tokens - hits * demand.shared_tokens
        assert request.route is not None
        return ranking.Claim(
            request.arrived_at,
            request.route.target_s,
            model.token_ms * unread / 1000,
            request.priority,
            not progress.sends,
            progress.buffer is not None and progress.buffer.passed,
        )

    def measure_work(self, identity: str, service: str, now: float) -> float:
        """Return the work of an engine and of those that wait, in seconds.

        As many requests wait at each other VM.
        """
        board = self._board
        costs = board.costs.value
        membership = board.membership.value
        found = costs.services.get(service)
        mean_ms = (
            cost_states.PRIOR_WORK_MS
            if found is None
            else found.estimate_work_ms(now)
        )
        active = self._count_active(identity)
        work_ms = costs.ledger.measure_left(identity, now)
        work_ms += membership.work_ms.get(identity, 0.0)
        waiting = self.state.count_waiters(identity)
        waiting *= membership.peer_table.count_vms(now)
        return (max(work_ms, mean_ms * active) + mean_ms * waiting) / 1000

    def find_full(
        self, endpoint: endpoints.Endpoint, now: float, vms: int | None = None
    ) -> FullEngine | None:
        """Return what is known of an engine if it counts as full.

        :param vms: number of VMs that may be running, if known
        """
        identity = endpoint.identity
        full = self.state.full.get(identity)
        if full is None:
            return None
        report = self.read_report(endpoint, vms)
        waiting = self.state.count_waiters(identity)
        if not full.is_full(now, report, waiting > 1):
            del self.state.full[identity]
            return None
        return FullEngine(identity, full, report)

    def read_report(
        self, endpoint: endpoints.Endpoint, vms: int | None = None
    ) -> fullness.Report:
        """Return what is reported of an engine.

        :param vms: number of VMs that may be running, if known
        """
        board, now = self._board, self._read_clock()
        if vms is None:
            vms = board.membership.value.peer_table.count_vms(now)
        budget = board.budgets.value.by_service.get(endpoint.service)
        return fullness.Report(
            vms,
            self._count_active(endpoint.identity) >= endpoint.capacity,
            budget is None or budget.has_retry(now, vms),
        )

    def _count_active(self, identity: str) -> int:
        board = self._board
        return placement.count_active(
            board.traffic.value, board.membership.value.active, identity
        )

    def find_next(
        self, full_engine: FullEngine, now: float
    ) -> states.Waiter | None:
        """Return the request that is sent to a full engine now, if any."""
        return self.state.find_next(
            full_engine.identity, now, full_engine.report
        )

    def wake_next(self, full_engine: FullEngine, now: float) -> None:
        """Wake the request that is sent to a full engine now, if any."""
        found = self.find_next(full_engine, now)
        if found is not None:
            found.notifier.change()
