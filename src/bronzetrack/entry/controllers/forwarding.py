"""Serves callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import logging
import random

import anyio
import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import budget
from bronzetrack.entry import endpoints
from bronzetrack.entry import events
from bronzetrack.entry import failures
from bronzetrack.entry import members
from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry import placement
from bronzetrack.entry import relays
from bronzetrack.entry import requests
from bronzetrack.entry import roles
from bronzetrack.entry import routes
from bronzetrack.entry import suspects
from bronzetrack.entry import traffic as traffic_tables
from bronzetrack.platform import names
from bronzetrack.platform import requests as wire_requests
from bronzetrack.transport import connections
from bronzetrack.transport import server

LOG = logging.getLogger(__name__)
TICK_S = 0.5
# A VM asks again for an adapter that it waits for.
ASK_S = 0.15
WAIT_S = 0.1
# Sends of one request, with those that endpoints rejected unrun.
MOST_SENDS = 3
REJECTED_PAUSE_S = 0.05
RETRY_AFTER_S = 0.5
# Callers wait this time at most a third of what they have left.
NO_CONFIGURATION_RETRY_S = 1.0
FIRST_VERSION = 1
NO_NEED = ("", "")
# A request that waits for an engine is refused after this part of the time
# until its caller leaves, so that the caller can still try again.
WAIT_SHARE = 0.7
# A request that an engine broke off waits this long for another engine.
ELSEWHERE_S = 0.6
ISOLATED_WAIT_S = 0.05
# Until a configuration and endpoints are known, requests wait this part of
# the time that their caller has, and no longer than callers wait for a first
# event.
LEARNING_WAIT_SHARE = 0.3
LEARNING_WAIT_S = 1.5


@attrs.define(eq=False)
class Progress:
    """What has been done for a request.

    :param ran: endpoints that may have run it
    :param elsewhere_until: until when it waits for an engine that has not
        broken off yet
    :param waited_s: time from the arrival to the last send
    :param first_byte_s: time from the arrival to the answer's first byte
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    ran: int = 0
    outcome: str = ""
    endpoint: str = ""
    buffer: events.EventBuffer | None = None
    waited_s: float | None = None
    first_byte_s: float | None = None
    asked_at: float = 0.0
    elsewhere_until: float = 0.0
    missing: str = ""
    unreachable: str = ""


@roles.CONTROLLERS.register("forwarding")
class ForwardingController(roles.Controller):
    """Takes requests, chooses endpoints and relays answers."""

    name = "forwarding"

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.listener = server.Listener(self.serve, self.read_clock)
        self._pools: dict[str, connections.Pool] = {}

    async def run(self) -> None:
        """Listen, and keep connections and tables in bounds."""
        await self.listener.open(self.board.settings.front)
        while True:
            await anyio.sleep(TICK_S)
            self._keep_house(self.read_clock())

    def _keep_house(self, now: float) -> None:
        configuration = self.board.rules.value.configuration
        if configuration is not None:
            self.listener.bounds = configuration.limits
        self.listener.expire(now)
        known = set(self.board.endpoints.value.by_identity)
        self.board.traffic.value.retain(known)
        for identity in set(self._pools) - known:
            self._pools.pop(identity).close()

    # One request.

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
        progress = Progress(self._choose_service(route))
        if route.resumable:
            progress.buffer = events.EventBuffer(request.last_event_id)
        self._find_budget(progress.service).note_request(now)
        with self._note_departure(request, progress):
            await self._run(exchange, request, progress)

    @contextlib.contextmanager
    def _note_departure(
        self, request: requests.Request, progress: Progress | None = None
    ) -> Iterator[None]:
        """Log a request whose caller closes the connection meanwhile."""
        try:
            yield
        except asyncio.CancelledError:
            left = failures.Failure(failures.Reason.CALLER_LEFT)
            self._log_end(request, progress, left)
            raise

    async def _run(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: Progress,
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

    def _note_loss(self, request: requests.Request, now: float) -> None:
        suspect = suspects.identify(request.path, request.body)
        self.board.suspects.value.note_loss(suspect, now)
        if suspect:
            self.board.outgoing.post(messages.Loss(suspect))

    async def _await_configuration(self, request: requests.Request) -> None:
        """Wait for the first configuration, for a part of the caller's time.

        Load pattern: all VMs lost power while the store is away. Callers
        that are refused come back once, mostly before the store does.
        """
        await blackboard.wait_any(
            self.board.rules.meets(lambda rules: bool(rules.configuration)),
            timeout_ms=int(1000 * self._limit_wait(request)),
        )

    def _limit_wait(self, request: requests.Request) -> float:
        """Return how long a request may wait for what a VM learns first."""
        time_s = request.deadline - request.arrived
        return min(LEARNING_WAIT_S, LEARNING_WAIT_SHARE * time_s)

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
        progress: Progress,
    ) -> failures.Failure | None:
        """Send a request until it is answered or given up."""
        while True:
            endpoint = await self._await_endpoint(request, progress)
            if isinstance(endpoint, failures.Failure):
                return endpoint
            relay = await self._send(exchange, request, progress, endpoint)
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
                    RETRY_AFTER_S,
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
        progress: Progress,
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

    # Choice of the endpoint.

    async def _await_endpoint(
        self, request: requests.Request, progress: Progress
    ) -> endpoints.Endpoint | failures.Failure:
        """Wait until an endpoint can take a request."""
        key = request.need or NO_NEED
        arrival = self.board.arrivals.join(key)
        try:
            while True:
                count = arrival.count
                found = self._find_endpoint(request, progress)
                if found is not None:
                    return found
                await blackboard.wait_any(
                    arrival.is_newer(count), timeout_ms=int(1000 * WAIT_S)
                )
        finally:
            self.board.arrivals.leave(key)

    def _find_endpoint(
        self, request: requests.Request, progress: Progress
    ) -> endpoints.Endpoint | failures.Failure | None:
        """Return an endpoint, why there is none, or nothing to wait on."""
        now = self.read_clock()
        table = self.board.endpoints.value
        candidates = table.list_service(progress.service)
        if not candidates and now - request.arrived < self._limit_wait(
            request
        ):
            # The list may be incomplete after a start, or after entries
            # lapsed with the store.
            return None
        if not any(item.is_usable(now) for item in candidates):
            return failures.Failure(
                failures.Reason.NO_ENDPOINT,
                "the service has no endpoint",
                RETRY_AFTER_S,
            )
        return self._choose(
            request, progress, candidates, now
        ) or self._judge_wait(request, now)

    def _judge_wait(
        self, request: requests.Request, now: float
    ) -> failures.Failure | None:
        """Return why waiting on is of no use, if that is so."""
        waited = now - request.arrived
        if waited > WAIT_SHARE * (request.start_by - request.arrived):
            return failures.Failure(
                failures.Reason.NOT_LOADED,
                "no engine could load the adapter in time",
                RETRY_AFTER_S,
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
        return members.is_isolated(
            board.membership.value.members, board.contact.value, now
        )

    def _choose(
        self,
        request: requests.Request,
        progress: Progress,
        candidates: list[endpoints.Endpoint],
        now: float,
    ) -> endpoints.Endpoint | None:
        view = placement.View(
            self.board.traffic.value,
            self.board.membership.value.active,
            self.board.settings.zone,
            now,
        )
        need = request.need
        if need is None or not self._has_engine(progress.service):
            return placement.choose_endpoint(
                candidates, frozenset(progress.tried), view
            )
        version = self.board.rules.value.versions.get(need, FIRST_VERSION)
        holders = placement.list_holders(candidates, need, version, view)
        if not holders:
            self._ask(request, progress, version, 1, now)
            return None
        if need[1] and self._is_copy_needed(
            progress, holders, candidates, view
        ):
            self._ask(request, progress, version, len(holders) + 1, now)
            if now < progress.elsewhere_until:
                return None
        return placement.choose_endpoint(
            holders, frozenset(progress.tried), view
        )

    def _is_copy_needed(
        self,
        progress: Progress,
        holders: list[endpoints.Endpoint],
        candidates: list[endpoints.Endpoint],
        view: placement.View,
    ) -> bool:
        """Return whether one engine more should hold an adapter.

        A request that broke off at all engines that hold its adapter goes on
        at another one, if that can be had soon.
        """
        if view.now < progress.elsewhere_until:
            if any(item.identity not in progress.tried for item in holders):
                progress.elsewhere_until = 0.0
            elif len(holders) < len(candidates):
                return True
            else:
                progress.elsewhere_until = 0.0
        return placement.wants_copy(holders, candidates, view)

    def _has_engine(self, service: str) -> bool:
        configuration = self.board.rules.value.configuration
        found = configuration.services.get(service) if configuration else None
        return found is not None and found.engine is not None

    def _ask(
        self,
        request: requests.Request,
        progress: Progress,
        version: int,
        copies: int,
        now: float,
    ) -> None:
        """Ask the holder of the lease for a load."""
        if now - progress.asked_at < ASK_S:
            return
        progress.asked_at = now
        want = messages.Want(
            self.board.settings.vm,
            progress.service,
            request.model,
            request.adapter,
            version,
            copies,
            progress.missing,
            progress.unreachable,
            int(1000 * (request.arrived + request.route.target_s - now)),
        )
        progress.missing = ""
        progress.unreachable = ""
        if self.board.lease.value.is_held(now):
            self.board.wanted.post(want)
        else:
            self.board.outgoing.post(want)

    # One send.

    async def _send(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: Progress,
        endpoint: endpoints.Endpoint,
    ) -> relays.Relay | None:
        """Send a request to an endpoint; nothing if it took no connection."""
        traffic = self.board.traffic.value.find(endpoint.identity)
        need = request.need
        traffic.start(need)
        try:
            pool = self._find_pool(endpoint)
            connection = pool.take_idle(self.read_clock())
            if connection is None:
                connection = await pool.connect()
            if connection is None:
                traffic.note_unreachable(self.read_clock())
                progress.unreachable = endpoint.identity
                progress.asked_at = 0.0
                return None
            return await self._exchange(
                exchange, request, progress, endpoint, pool, connection
            )
        finally:
            traffic.end(need)

    def _find_pool(self, endpoint: endpoints.Endpoint) -> connections.Pool:
        pool = self._pools.get(endpoint.identity)
        if pool is None or pool.address != endpoint.address:
            pool = connections.Pool(endpoint.address)
            self._pools[endpoint.identity] = pool
        return pool

    async def _exchange(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        pool: connections.Pool,
        connection: connections.Connection,
    ) -> relays.Relay:
        resume_after = None
        if progress.buffer is not None and exchange.started:
            progress.buffer.discard_rest()
            resume_after = progress.buffer.last_id or 0
        relay = relays.Relay(
            exchange, request, connection, progress.buffer, self.read_clock
        )
        sent_at = self.read_clock()
        data = wire_requests.encode_request(
            request,
            endpoint,
            request.deadline - sent_at,
            self._get_version(request, endpoint),
            resume_after,
        )
        progress.waited_s = sent_at - request.arrived
        progress.sends += 1
        progress.ran += 1
        progress.endpoint = endpoint.identity
        self._log_send(request, progress, endpoint)
        connection.send(
            data,
            relay,
            request.identity.encode("latin-1"),
            request.method == b"HEAD",
        )
        try:
            outcome = await relay.done
        except BaseException:
            pool.drop(connection)
            raise
        if outcome in (relays.Outcome.LOST, relays.Outcome.MALFORMED):
            pool.drop(connection)
        else:
            pool.put_back(connection, self.read_clock())
        self._note_outcome(request, progress, endpoint, relay, outcome)
        return relay

    def _log_send(
        self,
        request: requests.Request,
        progress: Progress,
        endpoint: endpoints.Endpoint,
    ) -> None:
        """State what decided a send.

        The line at the end says it for a first send that did not wait.
        """
        if progress.sends == 1 and (progress.waited_s or 0.0) < WAIT_S:
            return
        now = self.read_clock()
        LOG.info(
            "a request was sent",
            extra={
                "event": "sent",
                "request_id": request.identity,
                "endpoint": endpoint.identity,
                "adapter": request.adapter,
                "version": endpoint.adapters.get(request.need or NO_NEED),
                "placed_age_s": _round(
                    now - endpoint.placed_at[request.need]
                    if request.need in endpoint.placed_at
                    else None
                ),
                "store_age_s": _round(now - self.board.contact.value),
                "send": progress.sends,
                "waited_s": _round(progress.waited_s),
                "holder": self.board.lease.value.holder,
            },
        )

    def _get_version(
        self, request: requests.Request, endpoint: endpoints.Endpoint
    ) -> int | None:
        """Return the adapter version to insist on, if one was named."""
        need = request.need
        if need is None or need not in self.board.rules.value.versions:
            return None
        return endpoint.adapters.get(need)

    def _note_outcome(
        self,
        request: requests.Request,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        outcome: relays.Outcome,
    ) -> None:
        now = self.read_clock()
        traffic: traffic_tables.Traffic = self.board.traffic.value.find(
            endpoint.identity
        )
        progress.tried.add(endpoint.identity)
        if outcome is relays.Outcome.REJECTED:
            progress.ran -= 1
            self._note_rejection(request, progress, endpoint, relay, now)
        elif outcome is relays.Outcome.LOST:
            traffic.note_failure(now)
            progress.elsewhere_until = now + ELSEWHERE_S
            self._note_loss(request, now)
        elif outcome is relays.Outcome.MALFORMED or relay.status >= 500:
            traffic.note_failure(now)
        elif relay.first_byte_at is not None:
            progress.first_byte_s = relay.first_byte_at - request.arrived
            traffic.note_answer(now)

    def _note_rejection(
        self,
        request: requests.Request,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        relay: relays.Relay,
        now: float,
    ) -> None:
        meters.REJECTIONS.labels(relay.status).inc()
        LOG.info(
            "an endpoint rejected a request without running it",
            extra={
                "event": "rejected",
                "request_id": request.identity,
                "endpoint": endpoint.identity,
                "status": relay.status,
                "adapter": request.adapter,
                "detail": relay.body[:120].decode("latin-1"),
            },
        )
        other = relay.find_header(names.INSTANCE)
        if relay.status != 421:
            self.board.traffic.value.find(endpoint.identity).note_failure(now)
        elif other is not None and other != endpoint.identity.encode():
            self.board.traffic.value.find(endpoint.identity).note_unreachable(
                now
            )
        elif request.need is not None:
            progress.missing = endpoint.identity
            progress.asked_at = 0.0
            self.board.placed.post(
                messages.Placed(endpoint.identity, *request.need, 0)
            )

    # The end.

    def _end(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        progress: Progress | None,
        failure: failures.Failure | None,
    ) -> None:
        if failure is not None and exchange.started:
            exchange.abort()
        elif failure is not None:
            self._respond_failure(exchange, request, failure)
        self._log_end(request, progress, failure)

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

    def _log_end(
        self,
        request: requests.Request,
        progress: Progress | None,
        failure: failures.Failure | None,
    ) -> None:
        total_s = self.read_clock() - request.arrived
        _measure(progress, failure, total_s)
        LOG.info(
            "a request ended",
            extra={
                "event": "request",
                "request_id": request.identity,
                "route": request.route.name if request.route else "",
                "adapter": request.adapter,
                "endpoint": progress.endpoint if progress else "",
                "sends": progress.sends if progress else 0,
                "outcome": progress.outcome if progress else "",
                "reason": failure.reason.value if failure else "",
                "detail": failure.detail if failure else "",
                "waited_s": _round(progress.waited_s if progress else None),
                "first_byte_s": _round(
                    progress.first_byte_s if progress else None
                ),
                "total_s": _round(total_s),
            },
        )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)


def _measure(
    progress: Progress | None,
    failure: failures.Failure | None,
    total_s: float,
) -> None:
    meters.REQUESTS.labels(
        progress.outcome if progress else "",
        failure.reason.value if failure else "",
    ).inc()
    meters.TOTAL.observe(total_s)
    if progress is not None and progress.waited_s is not None:
        meters.WAITED.observe(progress.waited_s)
    if progress is not None and progress.first_byte_s is not None:
        meters.FIRST_BYTE.observe(progress.first_byte_s)
