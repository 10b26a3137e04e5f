"""Stand-in for the network between processes that forwards connections."""

from __future__ import annotations

import argparse
import asyncio
import contextlib

import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn

CHUNK_BYTES = 65_536
MODES = ("forward", "hold", "refuse")


@attrs.define
class Link:
    """A listener that forwards its TCP connections to a target address.

    In mode `hold`, a link accepts connections and bytes but forwards neither
    them nor the end of a connection. It catches up once it is back in mode
    `forward`, as TCP does after a network partition. In mode `refuse`, it
    does not listen.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    forwarding: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def set_mode(self, mode: str) -> None:
        self.forwarding.clear()
        if mode == "refuse" and self.server is not None:
            self.server.close()
            self.server = None
            for writer in self.writers:
                writer.transport.abort()
        elif mode != "refuse" and self.server is None:
            self.server = await asyncio.start_server(
                self._accept, *self.listen
            )
        if mode == "forward":
            self.forwarding.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with self._track(writer):
            await self.forwarding.wait()
            try:
                target_reader, target_writer = await asyncio.open_connection(
                    *self.target
                )
            except OSError:
                return
            with self._track(target_writer):
                await asyncio.gather(
                    self._copy(reader, target_writer),
                    self._copy(target_reader, writer),
                )

    @contextlib.contextmanager
    def _track(self, writer: asyncio.StreamWriter):
        self.writers.add(writer)
        try:
            yield
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = b"-"
        with contextlib.suppress(OSError):
            while data:
                data = await reader.read(CHUNK_BYTES)
                await self.forwarding.wait()
                writer.write(data)
                await writer.drain()
        # The other direction is closed as well, since no peer here uses
        # half-closed connections.
        writer.close()


@attrs.define
class Forwarder:
    """Request handlers that create links and set their modes."""

    links: dict[str, Link] = attrs.field(factory=dict)

    def build(self) -> applications.Starlette:
        path = "/links/{name}"
        return applications.Starlette(
            routes=[routing.Route(path, self.set_link, methods=["PUT"])]
        )

    async def set_link(self, request: requests.Request) -> responses.Response:
        """Create a link if it is new, and set its mode."""
        name, fields = request.path_params["name"], await request.json()
        if fields["mode"] not in MODES:
            return responses.Response(status_code=400)
        if name not in self.links:
            self.links[name] = Link(
                tuple(fields["listen"]), tuple(fields["target"])
            )
        await self.links[name].set_mode(fields["mode"])
        return responses.JSONResponse({})


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    uvicorn.run(
        Forwarder().build(),
        host=arguments.host,
        port=arguments.port,
        log_level="warning",
    )


if __name__ == "__main__":
    main()
