"""Readiness, the directory of entry VMs, and the planned stop."""

from __future__ import annotations

import json
import logging
import signal
from urllib import parse

import anyio
import prometheus_client

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import dump
from bronzetrack.entry import members
from bronzetrack.entry import meters
from bronzetrack.entry import roles
from bronzetrack.entry import settings as entry_settings
from bronzetrack.platform import names
from bronzetrack.transport import server

LOG = logging.getLogger(__name__)
TICK_S = 0.1
EXPIRE_S = 1.0
# New requests are taken for this part of the time to stop, since callers
# keep an address for a while. What is taken then has time to finish.
TAKING_SHARE = 0.3
# The process ends itself this long before it would be killed.
KILL_MARGIN_S = 0.3
# Callers keep an answer of the directory for this part of the longest time.
ENTRY_TTL_SHARE = 0.4


@roles.CONTROLLERS.register("lifecycle")
class LifecycleController(roles.Controller):
    """Says whether this VM takes requests, and stops it on a signal."""

    name = "lifecycle"

    async def run(self) -> None:
        """Serve checks and wait for the signal to stop."""
        settings = self.board.settings
        self._listeners = {
            address: server.Listener(self._answer, self.read_clock)
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
            life = self.board.lifecycle.value
            ready = self._is_ready()
            if ready != life.ready:
                life.ready = ready
                self.write(self.board.lifecycle, life)
                event = logevents.Ready() if ready else logevents.NotReady()
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
        while True:
            await anyio.sleep(EXPIRE_S)
            now = self.read_clock()
            for listener in self._listeners.values():
                listener.expire(now)

    # Planned stop.

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                elif self.board.lifecycle.value.stopping_since is None:
                    self._begin_stop()

    def _reload(self) -> None:
        """Put changed settings in force, as far as that needs no restart."""
        try:
            found = self.ports.read_settings()
        except entry_settings.SettingsError as error:
            logevents.log(LOG, logevents.ReloadFailed(error.mistakes))
            return
        self.board.settings, waiting = entry_settings.merge_reloaded(
            self.board.settings, found
        )
        logevents.log(LOG, logevents.SettingsReloaded(waiting))

    def _begin_stop(self) -> None:
        life = self.board.lifecycle.value
        life.stopping_since = self.read_clock()
        life.ready = False
        self.write(self.board.lifecycle, life)
        logevents.log(LOG, logevents.Stopping())

    async def drain(self, front: server.Listener) -> None:
        """Wait for the signal, then until all requests are answered."""
        section = self.board.lifecycle
        while section.value.stopping_since is None:
            await section.wait_change(section.revision)
        since = section.value.stopping_since
        grace_s = self.board.settings.grace_s
        front.closing = True
        await self._take_last_requests(since + TAKING_SHARE * grace_s)
        front.stop_listening()
        end = since + grace_s - KILL_MARGIN_S
        while front.count_busy() and self.read_clock() < end:
            await anyio.sleep(TICK_S)
        logevents.log(LOG, logevents.Stopped(front.count_busy()))

    async def _take_last_requests(self, until: float) -> None:
        while self.read_clock() < until:
            await anyio.sleep(TICK_S)

    # Answers.

    async def _answer(self, exchange: server.Exchange) -> None:
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
            body = json.dumps(dump.dump_board(self.board)).encode()
            exchange.respond(
                200, [(b"Content-Type", b"application/json")], body
            )
        else:
            exchange.respond(404, [], b"")

    def _answer_resolve(self, exchange: server.Exchange, target: str) -> None:
        query = parse.parse_qs(parse.urlsplit(target).query)
        zone = query.get("zone", [""])[0]
        now = self.read_clock()
        others = self.board.membership.value.members
        isolated = members.is_isolated(others, self.board.contact.value, now)
        fronts = members.list_fronts(
            others,
            now,
            self.board.settings.front,
            self.board.lifecycle.value.ready,
        )
        if isolated or not fronts:
            logevents.log(LOG, logevents.ResolveEmpty(zone))
            exchange.respond(503, [], b"")
            return
        ttl_s = self.board.settings.entry_ttl_s * ENTRY_TTL_SHARE
        body = json.dumps({"addresses": fronts, "ttl_s": ttl_s}).encode()
        exchange.respond(200, [(b"Content-Type", b"application/json")], body)
