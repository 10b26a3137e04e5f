"""Records how engines answer, and tells them how urgent requests are."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import logging
from typing import TYPE_CHECKING

from bronzetrack.core import logevents
from bronzetrack.entry.admission import fullness
from bronzetrack.entry.admission import logevents as admission_events
from bronzetrack.entry.admission import memory
from bronzetrack.entry.admission import meters
from bronzetrack.entry.admission import ranking
from bronzetrack.entry.admission import views
from bronzetrack.entry.forwarding import relays

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry import endpoints
    from bronzetrack.entry.forwarding import progress as progresses
    from bronzetrack.entry.forwarding import requests

LOG = logging.getLogger(__name__)


class AdmissionRecorder:
    """Updates the state on the blackboard by the answers of engines."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self._read_clock = read_clock
        self._views = views.EngineViews(board, read_clock)

    def choose_priority(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        now: float,
    ) -> int:
        """Return the priority that an engine is told."""
        if not self._views.applies(request, progress.service):
            return request.priority
        claim = self._views.make_claim(request, progress, now)
        if claim.is_late(now):
            meters.LATE_SENDS.inc()
        return ranking.choose_priority(claim, now)

    @contextlib.contextmanager
    def track(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        sent_at: float,
    ) -> Iterator[None]:
        """Record how an engine answers a request during this context."""
        if not self._views.applies(request, progress.service):
            yield
            return
        relay.on_begin = functools.partial(
            self._record_acceptance, request, endpoint, sent_at
        )
        state = self._views.state
        tokens = memory.count_tokens(request)
        state.mean_tokens.add(progress.service, tokens, sent_at)
        held = state.held.setdefault(endpoint.identity, memory.Held())
        held.add(tokens)
        try:
            yield
        finally:
            held.remove(tokens)
            if _is_rejected(relay):
                self._record_rejection(request, endpoint, sent_at)
            else:
                self._record_end(endpoint)

    def _record_acceptance(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        sent_at: float,
    ) -> None:
        now = self._read_clock()
        full_engine = self._views.find_full(endpoint, now)
        if full_engine is None:
            return
        meters.PROBES.labels("accepted").inc()
        rejections = full_engine.full.rejections
        if full_engine.full.record_acceptance(
            sent_at, now, full_engine.report
        ):
            if rejections:
                event = admission_events.EngineFree(
                    endpoint.identity,
                    request.request_id,
                    rejections,
                    self._views.state.count_waiters(endpoint.identity),
                )
                logevents.log(LOG, event)
            self._views.wake_next(full_engine, now)

    def _record_rejection(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        sent_at: float,
    ) -> None:
        now = self._read_clock()
        identity = endpoint.identity
        full_engine = self._views.find_full(endpoint, now)
        if full_engine is not None:
            meters.PROBES.labels("rejected").inc()
        else:
            event = admission_events.EngineFull(
                identity,
                request.request_id,
                self._views.state.count_waiters(identity),
            )
            logevents.log(LOG, event)
            full_engine = views.FullEngine(
                identity,
                fullness.Fullness(),
                self._views.read_report(endpoint),
            )
            self._views.state.full[identity] = full_engine.full
        full_engine.full.record_rejection(sent_at, now, full_engine.report)

    def _record_end(self, endpoint: endpoints.Endpoint) -> None:
        now = self._read_clock()
        full_engine = self._views.find_full(endpoint, now)
        if full_engine is not None:
            full_engine.full.record_end(now)
            self._views.wake_next(full_engine, now)


def _is_rejected(relay: relays.Relay) -> bool:
    """Return whether an engine rejected a request as it is full."""
    done = relay.done
    return (
        done.done()
        and not done.cancelled()
        and relays.is_full(done.result(), relay.status)
    )
