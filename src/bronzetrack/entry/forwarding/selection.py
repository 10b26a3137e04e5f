"""Selects the endpoint of a request and requests missing adapters."""

from __future__ import annotations

from collections.abc import Callable
import logging
import math
from typing import TYPE_CHECKING

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry import notifiers
from bronzetrack.entry import shutdown
from bronzetrack.entry.admission import gate
from bronzetrack.entry.admission import switch as admission_switch
from bronzetrack.entry.copies import logevents as copy_logevents
from bronzetrack.entry.copies import meters as copy_meters
from bronzetrack.entry.copies import numbers
from bronzetrack.entry.costs import choice as cost_choice
from bronzetrack.entry.costs import estimates
from bronzetrack.entry.costs import meters as cost_meters
from bronzetrack.entry.costs import switch
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.loads import placement
from bronzetrack.entry.peering import peers

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)
# Interval at which a VM repeats its request to load an adapter.
LOAD_REQUEST_INTERVAL_S = 0.15
# A waiting request looks for an endpoint at least this often.
RECHECK_INTERVAL_S = 0.1
# Oldest usable version of an adapter for which no version was named.
FIRST_VERSION = 1
# A request that waits for an engine is refused after this share of the time
# until its caller disconnects, so that the caller can still retry.
ENGINE_WAIT_SHARE = 0.7
# A request at an isolated VM is refused after this time.
ISOLATED_WAIT_S = 0.05
# After a start, requests wait for a configuration and endpoints for this share
# of their caller's time limit. The upper bound is less than the time for which
# callers wait for a first event.
STARTUP_WAIT_SHARE = 0.3
STARTUP_WAIT_S = 1.5


def limit_startup_wait(request: requests.Request) -> float:
    """Return how long a request may wait for a configuration or an endpoint.

    Load pattern: all VMs lost power while the store is unavailable. Callers
    that are refused retry once, mostly before the store is available again.

    :returns: longest wait in seconds
    """
    time_s = request.deadline - request.arrived_at
    return min(STARTUP_WAIT_S, STARTUP_WAIT_SHARE * time_s)


def limit_wait(request: requests.Request) -> float:
    """Return how long a request may wait for an endpoint, in seconds."""
    return ENGINE_WAIT_SHARE * (request.start_by - request.arrived_at)


def check_pauses(
    request: requests.Request,
    candidates: list[endpoints.Endpoint],
    balancing_input: placement.BalancingInput,
) -> failures.Failure | None:
    """Return a failure if all endpoints want a pause for too long."""
    now = balancing_input.now
    pause_end = placement.find_pause_end(candidates, balancing_input)
    waits_until = request.arrived_at + limit_wait(request)
    if pause_end <= max(now, waits_until):
        return None
    return failures.Failure(
        failures.Reason.PAUSED,
        "all endpoints want no requests for a while",
        pause_end - now,
    )


def make_balancing_input(
    board: boards.Blackboard, service: str, now: float
) -> placement.BalancingInput:
    """Return the input of a choice between the endpoints of a service."""
    vms = board.membership.value.peer_table.count_vms(now)
    return placement.BalancingInput(
        board.traffic.value,
        board.membership.value.active,
        board.settings.zone,
        now,
        _limit_own_requests(board, service, vms),
        vms,
    )


def _limit_own_requests(
    board: boards.Blackboard, service: str, vms: int
) -> float:
    """Return this VM's share of the connections that an endpoint accepts.

    An endpoint resets the connections of all VMs when they exceed its limit.
    """
    found = board.rules.value.find_service(service)
    if found is None:
        return math.inf
    return max(1, found.max_connections // vms)


def count_copies(
    board: boards.Blackboard,
    holders: list[endpoints.Endpoint],
    candidates: list[endpoints.Endpoint],
    balancing_input: placement.BalancingInput,
) -> int:
    """Return how many engines should hold an adapter.

    :param holders: engines that hold it
    """
    if admission_switch.applies(
        board.settings.admission, board.rules.value.configuration
    ):
        return numbers.count_copies(holders, candidates, balancing_input)
    return len(holders) + placement.needs_copy(
        holders, candidates, balancing_input
    )


class EndpointSelector:
    """Waits for an endpoint that can take a request."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self.board = board
        self.read_clock = read_clock
        self._gate = gate.AdmissionGate(board, read_clock)

    async def await_endpoint(
        self, request: requests.Request, progress: progresses.Progress
    ) -> endpoints.Endpoint | failures.Failure:
        """Wait until an endpoint can take a request.

        :returns: the endpoint, or the reason why the request is refused
        """
        key = request.model_key or notifiers.NO_MODEL_KEY
        notifier = self.board.holder_notifiers.join(key)
        try:
            while True:
                count = notifier.count
                found = self._find_endpoint(request, progress)
                if found is not None:
                    return found
                sleep_s = self._gate.limit_sleep(
                    progress,
                    RECHECK_INTERVAL_S,
                    request.arrived_at + limit_wait(request),
                )
                await blackboard.wait_any(
                    notifier.is_newer(count),
                    *self._gate.list_conditions(progress),
                    timeout_ms=math.ceil(1000 * sleep_s),
                )
        finally:
            self._gate.leave(progress)
            self.board.holder_notifiers.leave(key)

    def _find_endpoint(
        self, request: requests.Request, progress: progresses.Progress
    ) -> endpoints.Endpoint | failures.Failure | None:
        """Return an endpoint, a failure, or None if the request must wait."""
        now = self.read_clock()
        schedule = self.board.lifecycle.value.schedule
        if not progress.possible_runs and not shutdown.may_send(
            schedule, request.deadline, now
        ):
            return failures.STOPPING
        table = self.board.endpoints.value
        candidates = table.list_service(progress.service)
        if not candidates and now - request.arrived_at < limit_startup_wait(
            request
        ):
            # The list may be incomplete after a start, or after entries
            # expired while the store was unavailable.
            return None
        if not any(item.is_usable(now) for item in candidates):
            return failures.Failure(
                failures.Reason.NO_ENDPOINT,
                "the service has no endpoint",
                failures.RETRY_AFTER_S,
            )
        balancing_input = self._make_balancing_input(progress, now)
        return (
            check_pauses(request, candidates, balancing_input)
            or self._choose_endpoint(
                request, progress, candidates, balancing_input
            )
            or self._gate.check_wait(
                request, progress, limit_wait(request), now
            )
            or self._check_wait_limit(request, now)
        )

    def _check_wait_limit(
        self, request: requests.Request, now: float
    ) -> failures.Failure | None:
        """Return a failure if the request must not wait any longer."""
        waited = now - request.arrived_at
        if waited > limit_wait(request):
            return failures.Failure(
                failures.Reason.NOT_LOADED,
                "no engine could load the adapter in time",
                failures.RETRY_AFTER_S,
            )
        if waited > ISOLATED_WAIT_S and self._is_isolated(now):
            return failures.Failure(
                failures.Reason.ISOLATED,
                "this VM reaches neither the store nor another VM",
                0.0,
            )
        return None

    def _is_isolated(self, now: float) -> bool:
        board = self.board
        return peers.is_isolated(
            board.membership.value.peer_table, board.store_read_at.value, now
        )

    def _choose_endpoint(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        candidates: list[endpoints.Endpoint],
        balancing_input: placement.BalancingInput,
    ) -> endpoints.Endpoint | None:
        now = balancing_input.now
        model_key = request.model_key
        if model_key is None or not self._has_engine(progress.service):
            return self._compare_endpoints(
                request, progress, candidates, balancing_input
            )
        version = self.board.rules.value.versions.get(model_key, FIRST_VERSION)
        holders = placement.list_holders(
            candidates, model_key, version, balancing_input
        )
        if not holders:
            self._gate.leave(progress)
            self._request_load(request, progress, version, 1, now)
            return None
        copies = len(holders)
        if model_key[1]:
            copies = self._count_copies(
                progress, holders, candidates, balancing_input
            )
        if copies > len(holders):
            self._request_copies(
                request, progress, version, len(holders), copies, now
            )
            if now < progress.failover_until:
                return None
        holders = self._gate.filter_open(
            request, progress, holders, balancing_input
        )
        if not holders:
            return None
        chosen = self._compare_endpoints(
            request, progress, holders, balancing_input
        )
        return self._gate.claim(chosen, balancing_input)

    def _compare_endpoints(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        candidates: list[endpoints.Endpoint],
        balancing_input: placement.BalancingInput,
    ) -> endpoints.Endpoint | None:
        """Return the better one of some candidates, by cost or by count."""
        progress.choice = None
        tried = frozenset(progress.tried)
        if not switch.applies(
            self.board.settings.by_cost,
            self.board.rules.value.find_service(progress.service),
        ):
            return placement.choose_endpoint(
                candidates, tried, balancing_input
            )
        state = self.board.costs.value
        progress.choice = cost_choice.choose_endpoint(
            candidates,
            tried,
            estimates.describe_request(request, state, balancing_input.now),
            cost_choice.CostInput(
                balancing_input,
                self.board.membership.value.work_ms,
                state,
                state.get_or_create(progress.service),
            ),
        )
        if progress.choice is None:
            return None
        cost_meters.CHOICES.labels(progress.choice.rule.value).inc()
        return progress.choice.endpoint

    def _make_balancing_input(
        self, progress: progresses.Progress, now: float
    ) -> placement.BalancingInput:
        return make_balancing_input(self.board, progress.service, now)

    def _count_copies(
        self,
        progress: progresses.Progress,
        holders: list[endpoints.Endpoint],
        candidates: list[endpoints.Endpoint],
        balancing_input: placement.BalancingInput,
    ) -> int:
        """Return how many engines should hold an adapter.

        A request that was interrupted at all engines that hold its adapter
        continues at another engine if one can load the adapter soon.
        """
        if balancing_input.now < progress.failover_until:
            if any(item.identity not in progress.tried for item in holders):
                progress.failover_until = 0.0
            elif len(holders) < len(candidates):
                return len(holders) + 1
            else:
                progress.failover_until = 0.0
        return count_copies(self.board, holders, candidates, balancing_input)

    def _has_engine(self, service: str) -> bool:
        found = self.board.rules.value.find_service(service)
        return found is not None and found.engine is not None

    def _request_copies(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        version: int,
        present: int,
        copies: int,
        now: float,
    ) -> None:
        """Request further copies of an adapter from the lease holder.

        :param present: number of copies that this VM knows
        """
        if self._request_load(request, progress, version, copies, now):
            copy_meters.REQUESTED.inc()
            event = copy_logevents.CopiesRequested(
                request.request_id, request.adapter, present, copies
            )
            logevents.log(LOG, event)

    def _request_load(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        version: int,
        copies: int,
        now: float,
    ) -> bool:
        """Request a load of a model or an adapter from the lease holder.

        :returns: whether the load was requested, which is done at intervals
        """
        if now - progress.load_requested_at < LOAD_REQUEST_INTERVAL_S:
            return False
        progress.load_requested_at = now
        load_request = messages.LoadRequest(
            self.board.settings.vm,
            progress.service,
            request.model,
            request.adapter,
            version,
            copies,
            progress.missing,
            progress.unreachable,
            int(1000 * (request.arrived_at + request.route.target_s - now)),
        )
        progress.missing = ""
        progress.unreachable = ""
        if self.board.lease.value.is_held(now):
            self.board.load_requests.post(load_request)
        else:
            self.board.outgoing.post(load_request)
        return True
