"""Sending of requests to endpoints and recording of the outcomes."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import TYPE_CHECKING

from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry.admission import recording as admission_recording
from bronzetrack.entry.admission.shares import gate as share_gates
from bronzetrack.entry.costs import recording
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import outcomes
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import relays
from bronzetrack.entry.forwarding import requestlog
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.peering import views
from bronzetrack.entry.suspects import trials
from bronzetrack.entry.workspaces import enforcement
from bronzetrack.platform import requests as wire_requests
from bronzetrack.transport import connections
from bronzetrack.transport import exchanges

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

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
        self._recorder = outcomes.OutcomeRecorder(board, read_clock)
        self._shares = share_gates.ShareGate(board, read_clock)
        self._cost_recorder = recording.CostRecorder(board, read_clock)
        self._admission_recorder = admission_recording.AdmissionRecorder(
            board, read_clock
        )

    def discard_unlisted(self, identities: set[str]) -> None:
        """Remove the pools of other endpoints and close idle connections.

        :param identities: ids of the endpoints whose pools are kept
        """
        for identity in set(self._pools) - identities:
            self._pools.pop(identity).close()

    async def send(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
    ) -> relays.Relay | failures.Failure | None:
        """Send a request to an endpoint.

        :returns: the relay of the answer, the failure if the key of the
            request is no longer accepted or the request may crash endpoints,
            `None` if no connection could be opened or the endpoint leaves
            meanwhile
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
            if not endpoint.is_usable(self.read_clock()):
                pool.discard(connection)
                return None
            refusal = enforcement.check_key(
                self.board, request, progress.possible_runs
            )
            if refusal is None:
                refusal = trials.admit(
                    self.board,
                    request,
                    self.read_clock(),
                    progress.possible_runs,
                )
            if refusal is not None:
                pool.put_back(connection, self.read_clock())
                return refusal
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
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
        endpoint: endpoints.Endpoint,
        pool: connections.Pool,
        connection: connections.Connection,
    ) -> relays.Relay:
        resume_after = None
        if progress.buffer is not None and exchange.started:
            progress.buffer.prepare_resume()
            resume_after = progress.buffer.last_id
        relay = relays.Relay(
            exchange,
            request,
            connection,
            progress.buffer,
            self.read_clock,
            functools.partial(self._record_leaving, endpoint),
            self.board.settings.responses,
        )
        sent_at = self.read_clock()
        data = wire_requests.encode_request(
            request,
            endpoint,
            request.deadline - sent_at,
            self._get_version(request, endpoint),
            resume_after,
            self._admission_recorder.choose_priority(
                request, progress, sent_at
            ),
        )
        progress.waited_s = sent_at - request.arrived_at
        progress.sends += 1
        progress.possible_runs += 1
        progress.endpoint = endpoint.identity
        progress.view = views.measure_view(self.board, sent_at)
        progress.used_connections.append(connection)
        requestlog.log_send(self.board, request, progress, endpoint, sent_at)
        connection.send(
            data,
            relay,
            request.request_id.encode("latin-1"),
            request.method == b"HEAD",
        )
        # A copy of the whole request, which would be kept until the answer.
        del data
        try:
            with (
                self._cost_recorder.track(progress, relay),
                self._admission_recorder.track(
                    request, progress, endpoint, relay, sent_at
                ),
            ):
                outcome = await relay.done
        except BaseException:
            self._recorder.record_given_up(request, endpoint, relay)
            pool.discard(connection)
            raise
        if outcome.breaks_connection:
            pool.discard(connection)
        else:
            pool.put_back(connection, self.read_clock())
        self._recorder.record(request, progress, endpoint, relay, outcome)
        self._cost_recorder.record(request, progress, relay, outcome, sent_at)
        self._shares.record(progress, relay, outcome, sent_at)
        return relay

    def _record_leaving(self, endpoint: endpoints.Endpoint) -> None:
        """Tell this VM and the others that an endpoint leaves."""
        if endpoint.departure is not None:
            return
        notice = endpoints.LeavingNotice(
            endpoint.identity, endpoint.start, endpoints.Source.ANSWER
        )
        self.board.leaving.post(notice)
        message = messages.EndpointLeaves(endpoint.identity, endpoint.start)
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
