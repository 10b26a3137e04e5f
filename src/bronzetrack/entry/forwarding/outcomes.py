"""Recording of what the outcome of a send says about its endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import relays
from bronzetrack.entry.forwarding import requestlog
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.forwarding import traffic as traffic_tables
from bronzetrack.entry.suspects import suspectkeys
from bronzetrack.entry.suspects import suspects
from bronzetrack.platform import names
from bronzetrack.platform import requests as wire_requests

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

# Time that a request waits for another engine after the connection to an
# engine was lost.
FAILOVER_WAIT_S = 0.6
# Longest pause that an endpoint gets. A longer one is a fault of the endpoint.
MAX_PAUSE_S = 3_600.0


class OutcomeRecorder:
    """Records outcomes of sends in the sections of the forwarding."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self.board = board
        self.read_clock = read_clock

    def record(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        outcome: relays.Outcome,
    ) -> None:
        """Record how a send ended, in the progress and on the blackboard."""
        now = self.read_clock()
        traffic: traffic_tables.Traffic = (
            self.board.traffic.value.get_or_create(endpoint.identity)
        )
        progress.tried.add(endpoint.identity)
        progress.status = relay.status
        failing = False
        self._record_pause(request, progress, endpoint, relay, now)
        if outcome is relays.Outcome.REJECTED:
            progress.possible_runs -= 1
            failing = self._record_rejection(
                request, progress, endpoint, relay, now
            )
        elif outcome is relays.Outcome.LOST:
            failing = traffic.record_failure(now)
            progress.failover_until = now + FAILOVER_WAIT_S
            self._report_loss(request, endpoint, relay, now)
        elif outcome.breaks_connection or relay.status >= 500:
            failing = traffic.record_failure(now)
        elif relay.first_byte_at is not None:
            progress.first_byte_s = relay.first_byte_at - request.arrived_at
            traffic.record_success(now)
            self._record_answer(request, endpoint, relay, now)
        if failing:
            requestlog.log_failing(
                request, endpoint, outcome.value, relay.status
            )

    def _record_pause(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
    ) -> None:
        """Record for how long an endpoint wants no requests of this VM."""
        if relay.status != relays.FULL_STATUS:
            return
        retry_after_s = wire_requests.decode_retry_after(
            relay.find_header(names.RETRY_AFTER)
        )
        if retry_after_s is None:
            return
        pause_s = min(retry_after_s, MAX_PAUSE_S)
        traffic = self.board.traffic.value.get_or_create(endpoint.identity)
        traffic.record_pause(endpoint.start, now + pause_s)
        progress.unreachable = endpoint.identity
        requestlog.log_pause(request, endpoint, pause_s)

    def _record_rejection(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
    ) -> bool:
        """Record a rejection.

        :returns: whether the endpoint is newly considered failing
        """
        requestlog.log_rejection(request, endpoint, relay)
        traffic = self.board.traffic.value.get_or_create(endpoint.identity)
        instance = relay.find_header(names.INSTANCE)
        if relay.status == relays.FULL_STATUS:
            traffic.rejected_at = now
        if relay.status != 421:
            return traffic.record_failure(now)
        if instance is not None and instance != endpoint.identity.encode():
            return traffic.record_unreachable(now)
        if request.model_key is not None:
            progress.missing = endpoint.identity
            progress.load_requested_at = 0.0
            self.board.placed.post(
                messages.HoldingChange(
                    endpoint.identity, *request.model_key, 0
                )
            )
        return False

    def record_given_up(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
    ) -> None:
        """Record a request that is given up while an endpoint may run it."""
        if relay.done.done() and not relay.done.cancelled():
            return
        self._post_lost(
            request, endpoint, relay, self.read_clock(), given_up=True
        )

    def _record_answer(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
    ) -> None:
        """Record that a request was answered, if that is certain.

        Where an answer has no length, a crash may look like its end.
        """
        if not relay.head.framed:
            self._check_crash(request, endpoint, relay, now)
        elif relay.status < 300:
            self.board.answers.value.record(
                request.suspect_keys, relay.first_byte_at
            )

    def _report_loss(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
    ) -> None:
        table = self.board.suspects.value
        answers = self.board.answers.value
        crashes = [
            table.count(key, answers, now) for key in request.suspect_keys
        ]
        requestlog.log_loss(request, endpoint, crashes)
        self._check_crash(request, endpoint, relay, now)

    def _check_crash(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
    ) -> None:
        """Have it checked whether the endpoint crashed."""
        answering_s = _measure_answering(relay, now)
        accused = self._post_lost(request, endpoint, relay, now)
        sound = set(request.suspect_keys) - set(accused)
        self.board.answers.value.record(sound, now - answering_s)

    def _post_lost(
        self,
        request: requests.Request,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
        given_up: bool = False,
    ) -> tuple[str, ...]:
        """Report a request that an endpoint did not finish.

        :returns: keys that may explain a crash
        """
        accused = suspectkeys.list_accused_keys(
            request, _measure_answering(relay, now)
        )
        self.board.lost_requests.post(
            suspects.LostRequest(
                endpoint.identity,
                endpoint.start,
                endpoint.address,
                accused,
                now,
                given_up,
            )
        )
        return accused


def _measure_answering(relay: relays.Relay, now: float) -> float:
    """Return the seconds since the first byte of a body, 0 before."""
    return 0.0 if relay.first_data_at is None else now - relay.first_data_at
