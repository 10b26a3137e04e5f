"""Stand-in for the platform: log service, VM list and weight store."""

from __future__ import annotations

import argparse
import collections
from typing import Any

import anyio
import attrs
import msgpack
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn


@attrs.define
class Faults:
    """Faults of the platform to inject.

    :param log_down: whether every call to the log fails
    :param log_delay_s: delay of every call to the log
    :param read_delay_s: delay of every answer to a read of the log
    :param lose_answers: number of appends to come whose answer is lost after
        they took effect
    :param refused_stream: stream whose appends are refused
    :param broken_stream: stream whose next append takes effect, loses its
        answer and takes the whole log down
    :param list_down: whether the VM list fails
    :param store_down: whether the weight store fails
    """

    log_down: bool = False
    log_delay_s: float = 0.0
    read_delay_s: float = 0.0
    lose_answers: int = 0
    refused_stream: str = ""
    broken_stream: str = ""
    list_down: bool = False
    store_down: bool = False


@attrs.define
class Stream:
    """The records of one stream.

    :param start: offset of the first record that is kept
    :param changed: set and replaced when records are appended
    """

    start: int = 0
    records: list[bytes] = attrs.field(factory=list)
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def end(self) -> int:
        return self.start + len(self.records)

    def append(self, items: list[bytes]) -> int:
        offset = self.end
        self.records.extend(items)
        self.changed.set()
        self.changed = anyio.Event()
        return offset

    def truncate(self, start: int) -> None:
        self.records = self.records[start - self.start :]
        self.start = start


@attrs.define
class Platform:
    """State and request handlers of the stand-in.

    :param load_s: time that a load takes at full speed
    :param full_speed_loads: loads in flight above which each load takes longer
    :param loading: loads in flight
    :param most_loading: highest number of loads in flight so far
    """

    load_s: float = 0.25
    full_speed_loads: int = 16
    faults: Faults = attrs.field(factory=Faults)
    streams: dict[str, Stream] = attrs.field(
        factory=lambda: collections.defaultdict(Stream)
    )
    vms: dict[str, dict[str, str]] = attrs.field(factory=dict)
    loading: int = 0
    most_loading: int = 0
    appends: int = 0
    refused_appends: int = 0

    def build(self) -> applications.Starlette:
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/streams/{name}", self.append, methods=["POST"]
                ),
                routing.Route("/streams/{name}", self.read, methods=["GET"]),
                routing.Route(
                    "/streams/{name}/truncate", self.truncate, methods=["POST"]
                ),
                routing.Route("/vms", self.list_vms, methods=["GET"]),
                routing.Route("/vms", self.set_vms, methods=["PUT"]),
                routing.Route("/weights/{name}", self.load_weights),
                routing.Route("/faults", self.set_faults, methods=["PUT"]),
                routing.Route("/statistics", self.get_statistics),
            ]
        )

    async def append(self, request: requests.Request) -> responses.Response:
        items = msgpack.unpackb(await request.body())
        name = request.path_params["name"]
        if self.faults.log_down or name == self.faults.refused_stream:
            self.refused_appends += 1
            return responses.Response(status_code=503)
        await anyio.sleep(self.faults.log_delay_s)
        offset = self.streams[name].append(items)
        self.appends += 1
        if name == self.faults.broken_stream:
            self.faults.log_down = True
            return responses.Response(status_code=504)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return responses.Response(status_code=504)
        return responses.Response(msgpack.packb({"offset": offset}))

    async def read(self, request: requests.Request) -> responses.Response:
        if self.faults.log_down:
            return responses.Response(status_code=503)
        await anyio.sleep(self.faults.log_delay_s)
        stream = self.streams[request.path_params["name"]]
        first = int(request.query_params["from"])
        limit = int(request.query_params.get("limit", "1000"))
        wait_ms = int(request.query_params.get("wait_ms", "0"))
        if first < stream.start:
            return responses.Response(status_code=410)
        if first >= stream.end and wait_ms:
            with anyio.move_on_after(wait_ms / 1000):
                await stream.changed.wait()
        await anyio.sleep(self.faults.read_delay_s)
        if self.faults.log_down:
            return responses.Response(status_code=503)
        chosen = stream.records[first - stream.start :][:limit]
        return responses.Response(
            msgpack.packb(
                {
                    "start": stream.start,
                    "end": stream.end,
                    "records": [
                        [first + index, data]
                        for index, data in enumerate(chosen)
                    ],
                }
            )
        )

    async def truncate(self, request: requests.Request) -> responses.Response:
        stream = self.streams[request.path_params["name"]]
        stream.truncate(int((await request.json())["start"]))
        return responses.Response()

    async def list_vms(self, request: requests.Request) -> responses.Response:
        """Return the VM list."""
        if self.faults.list_down:
            return responses.Response(status_code=503)
        return responses.JSONResponse(list(self.vms.values()))

    async def set_vms(self, request: requests.Request) -> responses.Response:
        """Replace the VM list."""
        rows: list[dict[str, Any]] = await request.json()
        self.vms = {row["name"]: row for row in rows}
        return responses.Response()

    async def load_weights(
        self, request: requests.Request
    ) -> responses.Response:
        """Return weights after the time that a load takes."""
        if self.faults.store_down:
            return responses.Response(status_code=503)
        self.loading += 1
        self.most_loading = max(self.most_loading, self.loading)
        try:
            slowdown = max(1.0, self.loading / self.full_speed_loads)
            await anyio.sleep(self.load_s * slowdown)
        finally:
            self.loading -= 1
        return responses.Response(request.path_params["name"])

    async def set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Replace the faults to inject."""
        self.faults = Faults(**await request.json())
        return responses.Response()

    async def get_statistics(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the counters and the ends of the streams."""
        return responses.JSONResponse(
            {
                "most_loading": self.most_loading,
                "appends": self.appends,
                "refused_appends": self.refused_appends,
                "streams": {
                    name: stream.end for name, stream in self.streams.items()
                },
            }
        )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--load-ms", type=int, default=250)
    arguments = parser.parse_args()
    uvicorn.run(
        Platform(load_s=arguments.load_ms / 1000).build(),
        host=arguments.host,
        port=arguments.port,
        log_level="warning",
    )


if __name__ == "__main__":
    main()
