"""Sending of requests to endpoints and recording of the outcomes."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import TYPE_CHECKING

from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry import progress as progresses
from bronzetrack.entry import relays
from bronzetrack.entry import requestlog
from bronzetrack.entry import requests
from bronzetrack.entry import suspectkeys
from bronzetrack.entry import suspects
from bronzetrack.entry import traffic as traffic_tables
from bronzetrack.platform import names
from bronzetrack.platform import requests as wire_requests
from bronzetrack.transport import connections
from bronzetrack.transport import server

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

# Time that a request waits for another engine after the connection to an
# engine was lost.
FAILOVER_WAIT_S = 0.6
# Longest pause that an endpoint gets. A longer one is a fault of the endpoint.
MAX_PAUSE_S = 3_600.0
# Logged outcome of a send for which no connection could be opened.
UNREACHABLE = "unreachable"


class Sender:
    """Manages the connection pools of endpoints and sends requests."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self.board = board
        self.read_clock = read_clock
        self._pools: dict[str, connections.Pool] = {}

    def discard_unlisted(self, identities: set[str]) -> None:
        """Remove the pools of other endpoints and close idle connections.

        :param identities: ids of the endpoints whose pools are kept
        """
        for identity in set(self._pools) - identities:
            self._pools.pop(identity).close()

    async def send(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
    ) -> relays.Relay | None:
        """Send a request to an endpoint.

        :returns: the relay of the answer, `None` if no connection could be
            opened
        """
        traffic = self.board.traffic.value.get_or_create(endpoint.identity)
        model_key = request.model_key
        traffic.start(model_key)
        self.board.uses_notifier.change()
        try:
            pool = self._find_pool(endpoint)
            connection = pool.take_idle(
                self.read_clock(), progress.used_connections
            )
            if connection is None:
                connection = await pool.connect()
            if connection is None:
                if traffic.record_unreachable(self.read_clock()):
                    requestlog.log_failing(request, endpoint, UNREACHABLE)
                progress.unreachable = endpoint.identity
                progress.load_requested_at = 0.0
                return None
            return await self._send_on_connection(
                exchange, request, progress, endpoint, pool, connection
            )
        finally:
            traffic.end(model_key)
            self.board.uses_notifier.change()

    def _find_pool(self, endpoint: endpoints.Endpoint) -> connections.Pool:
        pool = self._pools.get(endpoint.identity)
        if pool is None or pool.address != endpoint.address:
            pool = connections.Pool(endpoint.address)
            self._pools[endpoint.identity] = pool
        pool.response_limits = self.board.settings.responses
        return pool

    async def _send_on_connection(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        pool: connections.Pool,
        connection: connections.Connection,
    ) -> relays.Relay:
        resume_after = None
        if progress.buffer is not None and exchange.started:
            progress.buffer.discard_rest()
            resume_after = progress.buffer.last_id or 0
        relay = relays.Relay(
            exchange,
            request,
            connection,
            progress.buffer,
            self.read_clock,
            functools.partial(self._record_leaving, endpoint),
            self.board.settings.responses.buffered_bytes,
        )
        sent_at = self.read_clock()
        data = wire_requests.encode_request(
            request,
            endpoint,
            request.deadline - sent_at,
            self._get_version(request, endpoint),
            resume_after,
        )
        progress.waited_s = sent_at - request.arrived_at
        progress.sends += 1
        progress.possible_runs += 1
        progress.endpoint = endpoint.identity
        progress.used_connections.append(connection)
        requestlog.log_send(self.board, request, progress, endpoint, sent_at)
        connection.send(
            data,
            relay,
            request.request_id.encode("latin-1"),
            request.method == b"HEAD",
        )
        try:
            outcome = await relay.done
        except BaseException:
            pool.discard(connection)
            raise
        if outcome.breaks_connection:
            pool.discard(connection)
        else:
            pool.put_back(connection, self.read_clock())
        self._record_outcome(request, progress, endpoint, relay, outcome)
        return relay

    def _record_leaving(self, endpoint: endpoints.Endpoint) -> None:
        """Tell this VM and the others that an endpoint leaves."""
        if endpoint.has_said_leaving:
            return
        message = messages.EndpointLeaves(endpoint.identity, endpoint.start)
        self.board.leaving.post(message)
        self.board.outgoing.post(message)

    def _get_version(
        self, request: requests.Request, endpoint: endpoints.Endpoint
    ) -> int | None:
        """Return the adapter version to require if a version was published."""
        model_key = request.model_key
        if (
            model_key is None
            or model_key not in self.board.rules.value.versions
        ):
            return None
        return endpoint.adapters.get(model_key)

    def _record_outcome(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        outcome: relays.Outcome,
    ) -> None:
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
        retry_after_s = wire_requests.decode_retry_after(
            relay.find_header(names.RETRY_AFTER)
        )
        if relay.status != 503 or retry_after_s is None:
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
        answering_s = 0.0
        if relay.first_data_at is not None:
            answering_s = now - relay.first_data_at
        accused = suspectkeys.list_accused_keys(request, answering_s)
        sound = set(request.suspect_keys) - set(accused)
        self.board.answers.value.record(sound, now - answering_s)
        self.board.lost_requests.post(
            suspects.LostRequest(
                endpoint.identity,
                endpoint.start,
                endpoint.address,
                accused,
                now,
            )
        )
