"""Lets requests wait while the engines that could run them are full."""

from __future__ import annotations

from collections.abc import Callable
import logging
import math
from typing import TYPE_CHECKING

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry.admission import logevents as admission_events
from bronzetrack.entry.admission import meters
from bronzetrack.entry.admission import refusals
from bronzetrack.entry.admission import state as states
from bronzetrack.entry.admission import views
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import relays

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry import endpoints
    from bronzetrack.entry.forwarding import progress as progresses
    from bronzetrack.entry.forwarding import requests
    from bronzetrack.entry.loads import placement

LOG = logging.getLogger(__name__)
# Blocked requests together look for an engine this often beside the looks for
# which there is a reason.
RECHECKS_PER_S = 500


class AdmissionGate:
    """Decides with the state on the blackboard which requests wait.

    Requests to services without engines, and all requests where admission
    control does not apply, pass.
    """

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self._read_clock = read_clock
        self._views = views.EngineViews(board, read_clock)

    def filter_open(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        candidates: list[endpoints.Endpoint],
        balancing_input: placement.BalancingInput,
    ) -> list[endpoints.Endpoint]:
        """Return the engines that a request may be sent to now.

        Without one, the request counts as waiting for all of them. An engine
        that was full is among them only if there is no other.
        """
        if not self._views.applies(request, progress.service):
            return candidates
        now = balancing_input.now
        candidates = self._filter_memory(request, candidates, now)
        waiter = self._join(request, progress, candidates, now)
        full_engines = {
            item.identity: self._views.find_full(
                item, now, balancing_input.vms
            )
            for item in candidates
        }
        found = [
            item for item in candidates if full_engines[item.identity] is None
        ]
        if not found:
            found = self._filter_next(waiter, candidates, full_engines, now)
        waiter.is_blocked = not found
        if not found:
            self._views.state.wake_first(waiter.identities, now)
        if not found and waiter.blocked_at is None:
            waiter.blocked_at = now
        waiter.retry_at = min(
            (
                full_engine.full.find_next_send(
                    waiter.claim, now, full_engine.report
                )
                for full_engine in full_engines.values()
                if full_engine is not None
            ),
            default=now,
        )
        return found

    def _filter_memory(
        self,
        request: requests.Request,
        candidates: list[endpoints.Endpoint],
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the engines that have memory for a request."""
        found = [
            item for item in candidates if self._views.fits(request, item, now)
        ]
        if not found:
            meters.MEMORY_WAITS.inc()
        return found

    def has_memory(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        now: float,
    ) -> bool:
        """Return whether memory is no reason against an engine."""
        return not self._views.applies(
            request, endpoint.service
        ) or self._views.fits(request, endpoint, now)

    def _filter_next(
        self,
        waiter: states.Waiter,
        candidates: list[endpoints.Endpoint],
        full_engines: dict[str, views.FullEngine | None],
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the full engines that a request is sent to now.

        Without one, the requests that are sent to them now are woken.
        """
        coming = {
            identity: self._views.find_next(full_engine, now)
            for identity, full_engine in full_engines.items()
            if full_engine is not None
        }
        found = [
            item for item in candidates if coming[item.identity] is waiter
        ]
        if not found:
            for item in set(filter(None, coming.values())):
                item.notifier.change()
        return found

    def claim(
        self,
        endpoint: endpoints.Endpoint | None,
        balancing_input: placement.BalancingInput,
    ) -> endpoints.Endpoint | None:
        """Record that an engine was chosen, and return it."""
        if endpoint is None:
            return None
        now = balancing_input.now
        full_engine = self._views.find_full(endpoint, now, balancing_input.vms)
        if full_engine is not None:
            full_engine.full.start_probe(now)
            self._views.state.turn += 1
        return endpoint

    def _join(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        candidates: list[endpoints.Endpoint],
        now: float,
    ) -> states.Waiter:
        """Count a request as waiting for some engines."""
        if progress.waiter is None:
            claim = self._views.make_claim(request, progress, now)
            progress.waiter = states.Waiter(claim)
        identities = frozenset(item.identity for item in candidates)
        self._views.state.place(progress.waiter, identities)
        return progress.waiter

    def leave(self, progress: progresses.Progress) -> None:
        """Remove a request that goes on or has ended from those that wait."""
        waiter = progress.waiter
        if waiter is None:
            return
        self._views.state.remove(waiter)
        progress.waiter = None
        if waiter.is_watching:
            self._views.state.wake_first(waiter.identities, self._read_clock())
        if waiter.blocked_at is not None:
            meters.WAITED.observe(self._read_clock() - waiter.blocked_at)

    def list_conditions(
        self, progress: progresses.Progress
    ) -> tuple[blackboard.Condition, ...]:
        """Return the conditions on which a request looks for an engine."""
        waiter = progress.waiter
        if waiter is None:
            return ()
        return (waiter.notifier.is_newer(waiter.notifier.count),)

    def limit_sleep(
        self,
        progress: progresses.Progress,
        sleep_s: float,
        limit_at: float = math.inf,
    ) -> float:
        """Return after which time a waiting request looks for an engine.

        Load pattern: a thousand requests wait for the same engines. Only the
        first of them can go on once one is free, and wakes those behind it.

        :param sleep_s: longest time, unless many requests wait
        :param limit_at: when the request must not wait any longer
        """
        waiter = progress.waiter
        if waiter is None or not waiter.is_blocked:
            return sleep_s
        now = self._read_clock()
        state = self._views.state
        longest_s = len(state.waiters) / RECHECKS_PER_S
        if limit_at > now:
            longest_s = min(longest_s, limit_at - now)
        longest_s = max(sleep_s, longest_s)
        waiter.is_watching = state.is_first(waiter, now)
        if not waiter.is_watching:
            return longest_s
        times = (waiter.retry_at, waiter.claim.find_phase_end(now))
        return min([longest_s, *(at - now for at in times if at > now)])

    def check_wait(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        limit_s: float,
        now: float,
    ) -> failures.Failure | None:
        """Return the failure of a request that must not wait any longer."""
        waiter = progress.waiter
        if waiter is None or not waiter.is_blocked:
            return None
        if not refusals.is_over(now - request.arrived_at, limit_s):
            return None
        return self._refuse(
            request,
            progress,
            failures.Reason.OVERLOADED,
            "all engines that hold the adapter stayed full",
        )

    def waits(
        self, request: requests.Request, progress: progresses.Progress
    ) -> bool:
        """Return whether a rejected request waits until an engine is free."""
        return progress.status == relays.FULL_STATUS and self._views.applies(
            request, progress.service
        )

    def refuse(
        self, request: requests.Request, progress: progresses.Progress
    ) -> failures.Failure:
        """Return the failure of a request that is not sent again.

        Neither its sends nor the retry budget allow another send.
        """
        return self._refuse(
            request,
            progress,
            failures.Reason.REJECTED,
            "the engine is full, and no send is left",
        )

    def _refuse(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        reason: failures.Reason,
        detail: str,
    ) -> failures.Failure:
        now = self._read_clock()
        ahead_s = self._measure_ahead(progress, now)
        failure = refusals.make_failure(
            reason,
            detail,
            progress.possible_runs,
            ahead_s,
            request.start_by - now,
        )
        meters.REFUSALS.labels(reason.value).inc()
        event = admission_events.AdmissionRefused(
            request.request_id,
            reason.value,
            progress.sends,
            logevents.round_time(ahead_s),
            logevents.round_time(failure.retry_after_s),
            len(self._views.state.waiters),
        )
        logevents.log(LOG, event)
        return failure

    def _measure_ahead(
        self, progress: progresses.Progress, now: float
    ) -> float:
        """Return the least work ahead at the engines of a request.

        :returns: time that the engine needs for it, in seconds
        """
        waiter = progress.waiter
        identities = waiter.identities if waiter is not None else ()
        return min(
            (
                self._views.measure_work(identity, progress.service, now)
                for identity in identities or (progress.endpoint,)
            ),
        )
