"""Serves callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import random

import anyio

from bronzetrack.core import blackboard
from bronzetrack.entry import budget
from bronzetrack.entry import events
from bronzetrack.entry import failures
from bronzetrack.entry import meters
from bronzetrack.entry import progress as progresses
from bronzetrack.entry import relays
from bronzetrack.entry import requestlog
from bronzetrack.entry import requests
from bronzetrack.entry import roles
from bronzetrack.entry import routes
from bronzetrack.entry import selection
from bronzetrack.entry import sending
from bronzetrack.entry import suspects
from bronzetrack.platform import names
from bronzetrack.platform import requests as wire_requests
from bronzetrack.transport import server

TICK_S = 0.5
# Sends of one request, with those that endpoints rejected unrun.
MOST_SENDS = 3
REJECTED_PAUSE_S = 0.05
# Callers wait this time at most a third of what they have left.
NO_CONFIGURATION_RETRY_S = 1.0


@roles.CONTROLLERS.register("forwarding")
class ForwardingController(roles.Controller):
    """Takes requests, chooses endpoints and relays answers."""

    name = "forwarding"

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.listener = server.Listener(self.serve, self.read_clock)
        self._selector = selection.EndpointSelector(
            self.board, self.read_clock
        )
        self._sender = sending.Sender(self.board, self.read_clock)

    async def run(self) -> None:
        """Listen, and keep connections and tables in bounds."""
        await self.listener.open(self.board.settings.front)
        while True:
            await blackboard.wait_any(
                self.board.rules.is_newer(self.board.rules.revision),
                timeout_ms=int(1000 * TICK_S),
            )
            self._keep_house(self.read_clock())

    def _keep_house(self, now: float) -> None:
        configuration = self.board.rules.value.configuration
        if configuration is not None:
            self.listener.bounds = configuration.limits
        self._adjust_budgets()
        self.listener.expire(now)
        known = set(self.board.endpoints.value.by_identity)
        self.board.traffic.value.retain(known)
        self._sender.retain(known)

    def _adjust_budgets(self) -> None:
        """Follow a reload of the settings."""
        settings = self.board.settings
        for found in self.board.budgets.value.by_service.values():
            found.ratio = settings.retry_ratio
            found.slack = settings.retry_slack
            found.window_s = settings.retry_window_s

    async def serve(self, exchange: server.Exchange) -> None:
        """Answer a request of a caller."""
        now = exchange.arrived
        request = wire_requests.decode_request(
            exchange.head, exchange.body, now
        )
        if self.board.rules.value.configuration is None:
            with self._note_departure(request):
                await self._await_configuration(request)
        route = self._find_route(request)
        if isinstance(route, failures.Failure):
            self._end(exchange, request, None, route)
            return
        request.bind(route)
        suspect = suspects.identify(request.path, request.body)
        if self._is_suspected(suspect, now):
            failure = failures.Failure(
                failures.Reason.SUSPECTED,
                "endpoints broke off each time that they ran this request",
            )
            self._end(exchange, request, None, failure)
            return
        progress = progresses.Progress(self._choose_service(route))
        if route.resumable:
            progress.buffer = events.EventBuffer(request.last_event_id)
        self._find_budget(progress.service).note_request(now)
        with self._note_departure(request, progress):
            await self._run(exchange, request, progress)

    @contextlib.contextmanager
    def _note_departure(
        self,
        request: requests.Request,
        progress: progresses.Progress | None = None,
    ) -> Iterator[None]:
        """Log a request whose caller closes the connection meanwhile."""
        try:
            yield
        except asyncio.CancelledError:
            left = failures.Failure(failures.Reason.CALLER_LEFT)
            requestlog.log_end(request, progress, left, self.read_clock())
            raise

    async def _run(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
    ) -> None:
        """Forward a request until its deadline."""
        remaining = request.deadline - self.read_clock()
        with anyio.move_on_after(max(0.0, remaining)):
            failure = await self._forward(exchange, request, progress)
            self._end(exchange, request, progress, failure)
            return
        reason = failures.Reason.DEADLINE
        if not progress.ran:
            # Nothing ran it, which the caller may know.
            reason = failures.Reason.OVERLOADED
        self._end(
            exchange, request, progress, failures.Failure(reason, "timeout")
        )

    def _is_suspected(self, suspect: str, now: float) -> bool:
        known = self.board.suspects.value
        for loss in self.board.losses.take():
            known.note_loss(loss.identity, now)
        return known.is_refused(suspect, now)

    async def _await_configuration(self, request: requests.Request) -> None:
        """Wait for the first configuration, if that is soon."""
        wait_s = selection.limit_startup_wait(request)
        await blackboard.wait_any(
            self.board.rules.meets(lambda rules: bool(rules.configuration)),
            timeout_ms=int(1000 * wait_s),
        )

    def _find_route(
        self, request: requests.Request
    ) -> routes.Route | failures.Failure:
        configuration = self.board.rules.value.configuration
        if configuration is None:
            return failures.Failure(
                failures.Reason.NO_CONFIGURATION,
                "no configuration is known yet",
                NO_CONFIGURATION_RETRY_S,
            )
        if self.listener.stopped:
            return failures.Failure(
                failures.Reason.STOPPING, "this VM stops", 0.0
            )
        if not request.identity:
            return failures.Failure(
                failures.Reason.NO_IDENTITY, "the request has no id"
            )
        route = routes.find_route(configuration, request.host, request.path)
        if route is None:
            return failures.Failure(
                failures.Reason.NO_ROUTE, "no route has this path"
            )
        return route

    def _choose_service(self, route: routes.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return random.choices(route.shares, weights)[0].service

    def _find_budget(self, service: str) -> budget.RetryBudget:
        by_service = self.board.budgets.value.by_service
        found = by_service.get(service)
        if found is None:
            settings = self.board.settings
            found = by_service[service] = budget.RetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            )
        return found

    async def _forward(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
    ) -> failures.Failure | None:
        """Send a request until it is answered or given up."""
        while True:
            endpoint = await self._selector.await_endpoint(request, progress)
            if isinstance(endpoint, failures.Failure):
                return endpoint
            relay = await self._sender.send(
                exchange, request, progress, endpoint
            )
            if relay is None:
                progress.tried.add(endpoint.identity)
                continue
            outcome = relay.done.result()
            progress.outcome = outcome.value
            if outcome is relays.Outcome.DELIVERED:
                exchange.finish()
                return None
            failure = self._judge(relay, outcome)
            if failure is not None and self._may_repeat(
                request, progress, outcome, exchange
            ):
                if outcome is relays.Outcome.REJECTED:
                    await anyio.sleep(REJECTED_PAUSE_S)
                continue
            if outcome is relays.Outcome.ANSWERED and not exchange.started:
                exchange.respond(
                    relay.status,
                    relays.select_headers(relay.head.headers),
                    relay.body,
                )
                return None
            return failure

    def _judge(
        self, relay: relays.Relay, outcome: relays.Outcome
    ) -> failures.Failure | None:
        """Return why an answer is no success, if it is none."""
        match outcome:
            case relays.Outcome.REJECTED:
                return failures.Failure(
                    failures.Reason.REJECTED,
                    f"the endpoint answered {relay.status} without a run",
                    failures.RETRY_AFTER_S,
                )
            case relays.Outcome.LOST:
                return failures.Failure(
                    failures.Reason.LOST, "the endpoint broke off"
                )
            case relays.Outcome.MALFORMED:
                return failures.Failure(
                    failures.Reason.MALFORMED, "the answer is not HTTP"
                )
        if relay.status >= 500:
            return failures.Failure(
                failures.Reason.LOST, f"the endpoint answered {relay.status}"
            )
        return None

    def _may_repeat(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        outcome: relays.Outcome,
        exchange: server.Exchange,
    ) -> bool:
        """Return whether a request is sent once more, and pay for it."""
        route = request.route
        if progress.sends >= MOST_SENDS:
            return False
        if outcome is not relays.Outcome.REJECTED:
            if not route.idempotent or progress.ran >= route.max_attempts:
                return False
            if exchange.started and progress.buffer is None:
                return False
        now = self.read_clock()
        if request.deadline - now < 0.02:
            return False
        vms = self.board.membership.value.members.count_vms(now)
        allowed = self._find_budget(progress.service).spend(now, vms)
        meters.REPEATS.labels(str(allowed).lower()).inc()
        return allowed

    def _end(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: progresses.Progress | None,
        failure: failures.Failure | None,
    ) -> None:
        if failure is not None and exchange.started:
            exchange.abort()
        elif failure is not None:
            self._respond_failure(exchange, request, failure)
        requestlog.log_end(request, progress, failure, self.read_clock())

    def _respond_failure(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        failure: failures.Failure,
    ) -> None:
        headers = [
            (b"Content-Type", b"text/plain"),
            (names.REQUEST_ID_HEADER, request.identity.encode("latin-1")),
        ]
        if failure.retry_after_s is not None:
            headers.append((b"Retry-After", b"%g" % failure.retry_after_s))
        body = f"{failure.reason.value}: {failure.detail}\n".encode()
        exchange.respond(failure.status, headers, body)
