"""Stand-in for the network between processes: forwards TCP connections."""

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
    """An address whose connections go on to another address.

    A link that holds takes connections and bytes and passes none of them on,
    nor that a connection has closed; it does so once it forwards again, as
    TCP does after a cut. A link that refuses does not listen.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    passing: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def set_mode(self, mode: str) -> None:
        self.passing.clear()
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
            self.passing.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with self._track(writer):
            await self.passing.wait()
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    *self.target
                )
            except OSError:
                return
            with self._track(far_writer):
                await asyncio.gather(
                    self._pump(reader, far_writer),
                    self._pump(far_reader, writer),
                )

    @contextlib.contextmanager
    def _track(self, writer: asyncio.StreamWriter):
        self.writers.add(writer)
        try:
            yield
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = b"-"
        with contextlib.suppress(OSError):
            while data:
                data = await reader.read(CHUNK_BYTES)
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
        # The other direction ends too: no peer here uses half a connection.
        writer.close()


@attrs.define
class Forwarder:
    """Handlers that make links and set their modes."""

    links: dict[str, Link] = attrs.field(factory=dict)

    def build(self) -> applications.Starlette:
        path = "/links/{name}"
        return applications.Starlette(
            routes=[routing.Route(path, self.set_link, methods=["PUT"])]
        )

    async def set_link(self, request: requests.Request) -> responses.Response:
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
