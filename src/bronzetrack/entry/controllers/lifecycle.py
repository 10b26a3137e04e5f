"""Controller for readiness, the directory and the graceful shutdown."""

from __future__ import annotations

from collections.abc import Callable
import functools
import json
import logging
import signal
import time
from urllib import parse

import anyio
import prometheus_client

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core import signalreceiver
from bronzetrack.core.eventtypes import processes as process_events
from bronzetrack.entry import dump
from bronzetrack.entry import meters
from bronzetrack.entry import pauses
from bronzetrack.entry import roles
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry import shutdown
from bronzetrack.entry.explanations import explanation
from bronzetrack.entry.peering import peers
from bronzetrack.platform import explanations
from bronzetrack.platform import fields
from bronzetrack.platform import names
from bronzetrack.transport import exchanges
from bronzetrack.transport import server

LOG = logging.getLogger(__name__)
# Time between two checks during the graceful shutdown.
DRAIN_POLL_S = 0.05
# Time between two checks for idle and slow connections.
EXPIRY_INTERVAL_S = 1.0
# TTL of an answer of the directory, as a share of the longest time for which
# callers may keep it.
ENTRY_TTL_SHARE = 0.4
# Path at which operators ask where a request would go.
EXPLAIN_PATH = "/explain"


@roles.CONTROLLERS.register("lifecycle")
class LifecycleController(roles.Controller):
    """Publishes the readiness of this VM and stops it on a signal."""

    name = "lifecycle"

    async def run(self) -> None:
        """Serve the internal addresses and handle signals until cancelled."""
        settings = self.board.settings
        self._listeners = {
            address: server.Listener(
                functools.partial(self._answer, address),
                self.read_clock,
                account=self.board.account,
                max_connections=settings.machine.internal_connections,
            )
            for address in {
                settings.readiness,
                settings.directory,
                settings.operators,
                settings.metrics,
            }
        }
        for address, listener in self._listeners.items():
            await listener.open(address)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_signals)
            group.start_soon(self._watch_readiness)
            group.start_soon(self._expire)

    async def _watch_readiness(self) -> None:
        while True:
            lifecycle = self.board.lifecycle.value
            ready = self._is_ready()
            if ready != lifecycle.ready:
                lifecycle.ready = ready
                self.write(self.board.lifecycle, lifecycle)
                event = (
                    process_events.Ready()
                    if ready
                    else process_events.NotReady()
                )
                logevents.log(LOG, event)
            await blackboard.wait_any(
                *(
                    section.is_newer(section.revision)
                    for section in (
                        self.board.lifecycle,
                        self.board.rules,
                        self.board.endpoints,
                    )
                )
            )

    def _is_ready(self) -> bool:
        board = self.board
        return (
            board.lifecycle.value.stopping_since is None
            and board.rules.value.configuration is not None
            and bool(board.endpoints.value.by_identity)
        )

    async def _expire(self) -> None:
        watch = pauses.PauseWatch(
            EXPIRY_INTERVAL_S, self.read_clock(), time.process_time()
        )
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            now = self.read_clock()
            pause = watch.check(now, time.process_time())
            if pause is not None:
                _record_pause(pause)
            for listener in self._listeners.values():
                listener.close_expired(now)

    # Graceful shutdown.

    async def _watch_signals(self) -> None:
        with signalreceiver.receive_signals() as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                elif self.board.lifecycle.value.stopping_since is None:
                    self._begin_stop()

    def _reload(self) -> None:
        """Apply changed settings that need no restart."""
        try:
            new_settings = self.ports.read_settings()
        except entry_settings.SettingsError as error:
            logevents.log(LOG, process_events.ReloadFailed(error.mistakes))
            return
        self.board.settings, need_restart = entry_settings.merge_reloaded(
            self.board.settings, new_settings
        )
        logevents.log(LOG, process_events.SettingsReloaded(need_restart))

    def _begin_stop(self) -> None:
        lifecycle = self.board.lifecycle.value
        now = self.read_clock()
        lifecycle.stopping_since = now
        lifecycle.schedule = shutdown.plan_shutdown(
            now, self.board.settings.grace_s, self._address_ttl_s
        )
        lifecycle.ready = False
        self.write(self.board.lifecycle, lifecycle)
        logevents.log(LOG, process_events.Stopping())

    async def drain(self, front: server.Listener) -> None:
        """Wait for the signal to stop, then for the requests in progress.

        Requests that are unfinished shortly before the end of the grace
        period are ended, each with an answer unless it has begun.

        :param front: listener for callers
        """
        section = self.board.lifecycle
        while (schedule := section.value.schedule) is None:
            await section.wait_change(section.revision)
        front.closing = True
        await self._wait(schedule.accepts_until, lambda: True)
        front.stop_listening()
        await self._wait(schedule.ends_at, front.count_busy)
        unfinished = front.count_busy()
        if unfinished:
            section.value.ended = True
            self.write(section, section.value)
            await self._wait(schedule.exits_at, front.count_busy)
        logevents.log(LOG, process_events.Stopped(unfinished))

    async def _wait(
        self, until: float, is_needed: Callable[[], object]
    ) -> None:
        """Wait until a time, or until the wait is no longer needed."""
        while is_needed() and self.read_clock() < until:
            await anyio.sleep(DRAIN_POLL_S)

    @property
    def _address_ttl_s(self) -> float:
        """Time for which callers may keep an address, in seconds."""
        return self.board.settings.entry_ttl_s * ENTRY_TTL_SHARE

    # Requests to the internal addresses.

    async def _answer(
        self, address: str, exchange: exchanges.Exchange
    ) -> None:
        """Answer a request.

        :param address: address of the listener that received it
        """
        target = exchange.head.target.decode("latin-1")
        path = target.partition("?")[0]
        if path == names.READY_PATH:
            ready = self.board.lifecycle.value.ready
            exchange.respond(200 if ready else 503, [], b"")
        elif path == names.RESOLVE_PATH:
            self._answer_resolve(exchange, target)
        elif path == "/metrics":
            exchange.respond(
                200,
                [(b"Content-Type", b"text/plain; version=0.0.4")],
                prometheus_client.generate_latest(meters.REGISTRY),
            )
        elif path == "/state":
            state = dump.dump_board(self.board, self.read_clock())
            body = json.dumps(state).encode()
            exchange.respond(
                200, [(b"Content-Type", b"application/json")], body
            )
        elif path == EXPLAIN_PATH and address == self.board.settings.operators:
            self._answer_explain(exchange)
        else:
            exchange.respond(404, [], b"")

    def _answer_explain(self, exchange: exchanges.Exchange) -> None:
        """Answer where a request would go now, without sending it."""
        now = self.read_clock()
        status, body = 200, b""
        try:
            request = explanations.decode_question(exchange.body, now)
        except fields.DocumentError as error:
            status, body = 400, explanations.encode_error(error)
        else:
            answer = explanation.explain(self.board, request, now)
            body = explanations.encode_answer(answer)
        exchange.respond(
            status, [(b"Content-Type", b"application/json")], body
        )

    def _answer_resolve(
        self, exchange: exchanges.Exchange, target: str
    ) -> None:
        query = parse.parse_qs(parse.urlsplit(target).query)
        zone = query.get("zone", [""])[0]
        now = self.read_clock()
        peer_table = self.board.membership.value.peer_table
        isolated = peers.is_isolated(
            peer_table, self.board.store_read_at.value, now
        )
        addresses = peers.list_caller_addresses(
            peer_table,
            now,
            self.board.settings.front,
            self.board.lifecycle.value.ready,
            self.board.settings.zone,
            zone,
        )
        if isolated or not addresses:
            logevents.log(LOG, process_events.ResolveEmpty(zone))
            exchange.respond(503, [], b"")
            return
        document = {"addresses": addresses, "ttl_s": self._address_ttl_s}
        body = json.dumps(document).encode()
        exchange.respond(200, [(b"Content-Type", b"application/json")], body)


def _record_pause(pause: pauses.Pause) -> None:
    """Log and count a time in which the loop stood still."""
    meters.PAUSES.labels(pause.cause).inc()
    event = process_events.Paused(
        logevents.round_time(pause.late_s),
        logevents.round_time(pause.busy_s),
        pause.cause,
    )
    logevents.log(LOG, event)
