"""Controller that forwards callers' requests to endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import random

import anyio
import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import meters
from bronzetrack.entry import roles
from bronzetrack.entry import routes
from bronzetrack.entry.admission import gate as admission_gate
from bronzetrack.entry.admission.shares import gate as share_gates
from bronzetrack.entry.admission.shares import retries as share_retries
from bronzetrack.entry.forwarding import budget
from bronzetrack.entry.forwarding import events
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import relays
from bronzetrack.entry.forwarding import requestlog
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.forwarding import selection
from bronzetrack.entry.forwarding import sending
from bronzetrack.entry.quotas import gate
from bronzetrack.entry.suspects import suspectkeys
from bronzetrack.entry.suspects import trials
from bronzetrack.entry.workspaces import enforcement
from bronzetrack.platform import names
from bronzetrack.platform import requests as wire_requests
from bronzetrack.transport import exchanges
from bronzetrack.transport import server

# Longest time between two runs of the housekeeping.
HOUSEKEEPING_INTERVAL_S = 0.5
# Maximum number of sends of one request, including those that endpoints
# rejected without running the request.
MAX_SENDS = 3
# Pause before a rejected request is sent again.
REJECTED_PAUSE_S = 0.05


def format_seconds(seconds: float) -> bytes:
    """Return a time in milliseconds precision, without an exponent."""
    text = f"{seconds:.3f}".rstrip("0").rstrip(".")
    return text.encode()


@roles.CONTROLLERS.register("forwarding")
class ForwardingController(roles.Controller):
    """Accepts requests, chooses endpoints and relays their answers."""

    name = "forwarding"

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.listener = server.Listener(
            self.serve,
            self.read_clock,
            account=self.board.account,
            max_connections=self.board.settings.machine.caller_connections,
        )
        self._selector = selection.EndpointSelector(
            self.board, self.read_clock
        )
        self._sender = sending.Sender(self.board, self.read_clock)
        self._gate = gate.QuotaGate(self.board)
        self._admission = admission_gate.AdmissionGate(
            self.board, self.read_clock
        )
        self._shares = share_gates.ShareGate(self.board, self.read_clock)
        self._started_at = self.read_clock()
        # Scopes of the requests that are being forwarded.
        self._scopes: set[anyio.CancelScope] = set()

    async def run(self) -> None:
        """Listen for callers and run the housekeeping until cancelled."""
        await self.listener.open(self.board.settings.front)
        while True:
            await blackboard.wait_any(
                self.board.rules.is_newer(self.board.rules.revision),
                self.board.lifecycle.is_newer(self.board.lifecycle.revision),
                timeout_ms=int(1000 * HOUSEKEEPING_INTERVAL_S),
            )
            if self.board.lifecycle.value.ended:
                self._end_requests()
            self._run_housekeeping(self.read_clock())

    def _end_requests(self) -> None:
        """End the requests that are still being forwarded."""
        for scope in self._scopes:
            scope.cancel()

    def _run_housekeeping(self, now: float) -> None:
        configuration = self.board.rules.value.configuration
        if configuration is not None:
            self.listener.limits = configuration.limits
        self._adjust_budgets()
        self.listener.close_expired(now)
        identities = set(self.board.endpoints.value.by_identity)
        self.board.traffic.value.discard_unlisted(identities)
        self.board.costs.value.discard_unlisted(identities)
        self.board.admission.value.discard_unlisted(identities)
        self.board.admission_shares.value.discard_unlisted(identities)
        self._shares.refresh()
        self._sender.discard_unlisted(identities)

    def _adjust_budgets(self) -> None:
        """Apply reloaded settings to the existing retry budgets."""
        settings = self.board.settings
        for retry_budget in self.board.budgets.value.by_service.values():
            retry_budget.ratio = settings.retry_ratio
            retry_budget.slack = settings.retry_slack
            retry_budget.window_s = settings.retry_window_s

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Forward a request of a caller and answer it."""
        now = exchange.arrived_at
        request = wire_requests.decode_request(
            exchange.head, exchange.body, now, exchange.caller
        )
        if self.board.rules.value.configuration is None:
            with self._log_disconnect(request):
                await self._await_configuration(request)
        route = self._find_route(request)
        if isinstance(route, failures.Failure):
            self._end(exchange, request, None, route)
            return
        request.set_route(route)
        refusal = enforcement.check_key(self.board, request)
        if refusal is not None:
            self._end(exchange, request, None, refusal)
            return
        request.suspect_keys = suspectkeys.list_keys(request)
        refusal = trials.check_suspicion(self.board, request, now)
        if refusal is not None:
            self._end(exchange, request, None, refusal)
            return
        progress = progresses.Progress(self._choose_service(route))
        if route.resumable:
            progress.buffer = events.EventBuffer(request.last_event_id)
        self._find_budget(progress.service).record_request(now)
        with self._log_disconnect(request, progress):
            await self._run(exchange, request, progress)

    @contextlib.contextmanager
    def _log_disconnect(
        self,
        request: requests.Request,
        progress: progresses.Progress | None = None,
    ) -> Iterator[None]:
        """Log a request whose caller closes the connection in this context."""
        try:
            yield
        except asyncio.CancelledError:
            failure = failures.Failure(failures.Reason.CALLER_LEFT)
            requestlog.log_end(request, progress, failure, self.read_clock())
            raise

    async def _run(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
    ) -> None:
        """Forward a request until its deadline or the end of a shutdown."""
        remaining = request.deadline - self.read_clock()
        with anyio.move_on_after(max(0.0, remaining)) as scope:
            self._scopes.add(scope)
            try:
                failure = await self._forward(exchange, request, progress)
            finally:
                self._scopes.discard(scope)
                self._gate.release(progress)
            self._end(exchange, request, progress, failure)
            return
        failure = failures.classify_interruption(
            progress.possible_runs, self.board.lifecycle.value.ended
        )
        self._end(exchange, request, progress, failure)

    async def _await_configuration(self, request: requests.Request) -> None:
        """Wait for a limited time for the first configuration."""
        wait_s = selection.limit_startup_wait(request)
        await blackboard.wait_any(
            self.board.rules.satisfies(
                lambda rules: bool(rules.configuration)
            ),
            timeout_ms=int(1000 * wait_s),
        )

    def _find_route(
        self, request: requests.Request
    ) -> routes.Route | failures.Failure:
        configuration = self.board.rules.value.configuration
        if configuration is None:
            return failures.NO_CONFIGURATION
        if self.listener.stopped:
            return failures.STOPPING
        if not request.request_id:
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
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [item.weight for item in route.weighted_services]
        return random.choices(route.weighted_services, weights)[0].service

    def _find_budget(self, service: str) -> budget.RetryBudget:
        by_service = self.board.budgets.value.by_service
        retry_budget = by_service.get(service)
        if retry_budget is None:
            settings = self.board.settings
            retry_budget = by_service[service] = budget.RetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
                self._started_at,
            )
        return retry_budget

    async def _forward(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
    ) -> failures.Failure | None:
        """Send a request until it is answered or fails.

        :returns: the failure, `None` after an answer
        """
        failure = await self._admit(request, progress)
        if failure is not None:
            return failure
        while True:
            relay = await self._send_once(exchange, request, progress)
            if isinstance(relay, failures.Failure):
                return relay
            if relay is None:
                continue
            outcome = relay.done.result()
            progress.outcome = outcome.value
            if outcome is relays.Outcome.DELIVERED:
                exchange.finish()
                return None
            failure = self._find_failure(exchange, relay, outcome)
            verdict = self._shares.judge_rejection(
                request, progress, relay, outcome
            )
            if failure is not None and verdict is not None:
                failure = attrs.evolve(
                    failure, retry_after_s=verdict.retry_after_s
                )
            pause_s = None
            if failure is not None:
                pause_s = self._plan_retry(
                    exchange, request, progress, outcome, verdict
                )
            if pause_s is None:
                return self._answer(
                    exchange, request, progress, relay, failure
                )
            if pause_s:
                await anyio.sleep(pause_s)

    async def _admit(
        self, request: requests.Request, progress: progresses.Progress
    ) -> failures.Failure | None:
        """Return the failure of a request that must not be sent at all."""
        if request.has_quota:
            failure = await self._gate.admit(request, progress)
            if failure is not None:
                return failure
        # After the quota, since a request beyond it would take the share of
        # another one.
        return self._shares.admit(request, progress)

    async def _send_once(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
    ) -> relays.Relay | failures.Failure | None:
        """Wait for an endpoint and send a request to it.

        :returns: the relay of the answer, the failure if the request is not
            sent, `None` if the endpoint could not be reached
        """
        endpoint = await self._selector.await_endpoint(request, progress)
        if isinstance(endpoint, failures.Failure):
            return endpoint
        failure = trials.check_suspicion(
            self.board, request, self.read_clock(), progress.possible_runs
        )
        if failure is not None:
            return failure
        if progress.is_retry_due and not self._take_retry(progress):
            return self._admission.refuse(request, progress)
        relay = await self._sender.send(exchange, request, progress, endpoint)
        if relay is None:
            progress.tried.add(endpoint.identity)
        return relay

    def _find_failure(
        self,
        exchange: exchanges.Exchange,
        relay: relays.Relay,
        outcome: relays.Outcome,
    ) -> failures.Failure | None:
        """Return the failure of a send, `None` if its answer is passed on."""
        failure = self._classify_failure(relay, outcome)
        if failure is None and exchange.started:
            return failures.Failure(
                failures.Reason.LOST,
                f"the endpoint answered {relay.status} to a resumption",
            )
        return failure

    def _plan_retry(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
        outcome: relays.Outcome,
        verdict: share_retries.Verdict | None,
    ) -> float | None:
        """Return the seconds before another send, `None` if there is none.

        :param verdict: decision on a rejection by a full plain endpoint
        """
        if verdict is not None and not verdict.may_retry:
            return None
        if not self._may_retry(request, progress, outcome, exchange):
            return None
        if outcome is not relays.Outcome.REJECTED or progress.is_retry_due:
            return 0.0
        return verdict.pause_s if verdict else REJECTED_PAUSE_S

    def _answer(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress,
        relay: relays.Relay,
        failure: failures.Failure | None,
    ) -> failures.Failure | None:
        """Pass the answer of an endpoint on, or return the failure."""
        outcome = relay.done.result()
        if outcome is relays.Outcome.ANSWERED and not exchange.started:
            exchange.respond(
                relay.status,
                relays.select_headers(relay.head.headers),
                relay.body,
            )
            return None
        if outcome is relays.Outcome.REJECTED and self._admission.waits(
            request, progress
        ):
            return self._admission.refuse(request, progress)
        return failure

    def _classify_failure(
        self, relay: relays.Relay, outcome: relays.Outcome
    ) -> failures.Failure | None:
        """Return the failure that an unsuccessful send amounts to, if any."""
        match outcome:
            case relays.Outcome.REJECTED:
                return failures.Failure(
                    failures.Reason.REJECTED,
                    f"the endpoint answered {relay.status} without a run",
                    failures.RETRY_AFTER_S,
                )
            case relays.Outcome.LOST:
                return failures.Failure(
                    failures.Reason.LOST,
                    "the endpoint broke off",
                )
            case relays.Outcome.MALFORMED:
                return failures.Failure(
                    failures.Reason.MALFORMED,
                    "the answer is not HTTP",
                )
            case relays.Outcome.OVERSIZED:
                return failures.Failure(
                    failures.Reason.OVERSIZED,
                    "the answer exceeds a size limit",
                )
            case relays.Outcome.UNIDENTIFIED:
                return failures.Failure(
                    failures.Reason.UNIDENTIFIED,
                    "the endpoint refused without the id of the request",
                )
        if relay.status >= 500:
            return failures.Failure(
                failures.Reason.LOST, f"the endpoint answered {relay.status}"
            )
        return None

    def _may_retry(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        outcome: relays.Outcome,
        exchange: exchanges.Exchange,
    ) -> bool:
        """Return whether to send a request again.

        A retry that the retry budget allows is deducted from it, at once or,
        if the request waits until an engine is free, when it is sent.
        """
        route = request.route
        if progress.sends >= MAX_SENDS:
            return False
        if outcome is not relays.Outcome.REJECTED:
            if (
                not route.idempotent
                or progress.possible_runs >= route.max_attempts
            ):
                return False
            if exchange.started and not progress.may_resume:
                return False
        now = self.read_clock()
        if request.deadline - now < 0.02:
            return False
        if outcome is relays.Outcome.REJECTED and self._admission.waits(
            request, progress
        ):
            vms = self.board.membership.value.peer_table.count_vms(now)
            progress.is_retry_due = self._find_budget(
                progress.service
            ).has_retry(now, vms)
            return progress.is_retry_due
        return self._take_retry(progress)

    def _take_retry(self, progress: progresses.Progress) -> bool:
        """Deduct a retry from the retry budget if it allows one."""
        now = self.read_clock()
        vms = self.board.membership.value.peer_table.count_vms(now)
        allowed = self._find_budget(progress.service).take_retry(now, vms)
        meters.RETRIES.labels(str(allowed).lower()).inc()
        progress.is_retry_due = False
        return allowed

    def _end(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        progress: progresses.Progress | None,
        failure: failures.Failure | None,
    ) -> None:
        if failure is not None and progress is not None:
            failure = failures.correct_guarantee(
                failure, progress.possible_runs
            )
        if failure is not None and exchange.started:
            exchange.abort()
        elif failure is not None:
            self._respond_failure(exchange, request, failure)
        requestlog.log_end(request, progress, failure, self.read_clock())

    def _respond_failure(
        self,
        exchange: exchanges.Exchange,
        request: requests.Request,
        failure: failures.Failure,
    ) -> None:
        headers = [
            (b"Content-Type", b"text/plain"),
            (names.REQUEST_ID_HEADER, request.request_id.encode("latin-1")),
        ]
        if failure.retry_after_s is not None:
            headers.append(
                (b"Retry-After", format_seconds(failure.retry_after_s))
            )
        body = f"{failure.reason.value}: {failure.detail}\n".encode()
        exchange.respond(failure.status, headers, body)
