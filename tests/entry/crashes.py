"""Endpoints that crash when they run a certain request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
from entry import sites

from standins import rawhttp

# Time after which a crashed endpoint is back.
DOWN_S = 0.5
FIRST_START_MS = 1_700_000_000_000


@attrs.define
class CrashingEndpoints:
    """Endpoints of one service that crash and come back after a while.

    :param is_deadly: whether the endpoint that runs a request crashes
    :param arrivals: ids of the deadly requests that arrived, in order
    :param starts: number of starts of all endpoints
    """

    site: sites.Site
    is_deadly: Callable[[rawhttp.Received], bool]
    arrivals: list[str] = attrs.field(factory=list)
    starts: int = 0
    restarts: list[asyncio.Task] = attrs.field(factory=list)

    async def add(self, identity: str, service: str) -> None:
        """Start an endpoint and write its entry to the store."""

        async def handle(request, writer):
            if "x-request-id" not in request.headers:
                await engine.handle(request, writer)
            elif self.is_deadly(request):
                self.arrivals.append(request.headers["x-request-id"])
                server.crash()
                restart = self._restart(identity, server)
                self.restarts.append(asyncio.ensure_future(restart))
            else:
                await engine.handle(request, writer)

        engine = await self.site.add_endpoint(identity, service, handle)
        server = self.site.servers[-1]

    async def _restart(self, identity: str, server: rawhttp.RawServer) -> None:
        await asyncio.sleep(DOWN_S)
        port = int(self.site.addresses[identity].rpartition(":")[2])
        await server.start(port)
        self.starts += 1
        self.site.announce(identity, born=FIRST_START_MS + self.starts)

    async def await_restarts(self) -> None:
        """Wait until all endpoints are back."""
        await asyncio.gather(*self.restarts)
