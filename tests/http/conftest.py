"""The HTTP listeners called without a socket, with a stub controller."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import anyio
import attrs
import pytest

from bronzetrack import board as boards
from bronzetrack.configuration import state
from bronzetrack.core import clock
from bronzetrack.http import callers
from bronzetrack.http import operators
from bronzetrack.streaming import calls
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import output as outputs
from bronzetrack.streaming import requests
from bronzetrack.wire import documents

INVENTORY = {
    "members": ["trust"],
    "base_models": ["base"],
    "adapters": {
        "launch-log": {
            "owner": "trust",
            "base_model": "base",
            "versions": ["1"],
            "current": "1",
        }
    },
    "endpoints": {
        "engine-0": {
            "host": "127.0.0.1",
            "port": 1,
            "availability_zone": "zone-a",
            "base_model": "base",
        }
    },
    "services": {
        "updates": {
            "owner": "trust",
            "prefix": "/services/updates",
            "endpoints": ["engine-0"],
        }
    },
}


@attrs.frozen
class Reply:
    """A response, and what was read and recorded for it.

    :param read_bytes: how many bytes of the request body were read
    :param served: requests that reached the requests controller
    :param refused: refusals that were recorded
    """

    status: int
    headers: dict[str, str]
    body: bytes
    read_bytes: int
    served: list[calls.CallerRequest]
    refused: list[requests.Refusal]


Call = Callable[..., Reply]


@pytest.fixture
def configured(board) -> boards.Blackboard:
    """Return a blackboard with one adapter and one service."""
    inventory = documents.read_document("inventory", INVENTORY)
    configuration = state.Configuration(offset=0, inventory=inventory)
    board.configuration.write(
        "configuration", state.ConfigurationState(configuration)
    )
    return board


@pytest.fixture
def call(configured) -> Call:
    """Return a function that calls the callers' listener."""
    application = callers.CallersApplication(configured, clock.read_clock)
    return make_call(configured, application.build())


@pytest.fixture
def operate(configured) -> Call:
    """Return a function that calls the operators' listener."""
    application = operators.OperatorsApplication(configured, clock.read_clock)
    return make_call(configured, application.build())


def make_call(board: boards.Blackboard, application: Any) -> Call:
    """Return a function that calls an ASGI application."""

    def call(
        method: str,
        target: bytes,
        body: Iterable[bytes] = (),
        headers: Iterable[tuple[bytes, bytes]] = (),
    ) -> Reply:
        return anyio.run(
            run_call, board, application, method, target, body, headers
        )

    return call


async def run_call(
    board: boards.Blackboard,
    application: Any,
    method: str,
    target: bytes,
    body: Iterable[Any],
    headers: Iterable[tuple[bytes, bytes]],
) -> Reply:
    """Send one request to an ASGI application and return the reply.

    :param body: parts of the body; None stands for a disconnect and ... for
        a caller that stalls
    """
    path, _, query = target.partition(b"?")
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path.decode("latin-1"),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": list(headers),
        "client": ("127.0.0.1", 5),
        "server": ("127.0.0.1", 8000),
    }
    parts: Iterator[Any] = iter(body)
    sent: list[dict[str, Any]] = []
    taken: list[Any] = []
    read_bytes = 0
    body_ended = False

    async def receive() -> dict[str, Any]:
        nonlocal read_bytes, body_ended
        if body_ended:
            # A server sends no further message until the caller disconnects.
            await anyio.sleep_forever()
        part = next(parts, b"")
        if part is ...:
            await anyio.sleep_forever()
        if part is None:
            return {"type": "http.disconnect"}
        read_bytes += len(part)
        body_ended = part == b""
        return {
            "type": "http.request",
            "body": part,
            "more_body": part != b"",
        }

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    async with anyio.create_task_group() as group:
        group.start_soon(answer_requests, board, taken)
        with anyio.fail_after(10):
            await application(scope, receive, send)
        group.cancel_scope.cancel()
    taken += board.mailboxes["intake"].take()
    return Reply(
        sent[0]["status"],
        {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in sent[0]["headers"]
        },
        b"".join(item.get("body", b"") for item in sent[1:]),
        read_bytes,
        [
            item.request
            for item in taken
            if isinstance(item, requests.SubmittedRequest)
        ],
        [item for item in taken if isinstance(item, requests.Refusal)],
    )


async def answer_requests(board: boards.Blackboard, taken: list[Any]) -> None:
    """Complete each request, as a stub for the requests controller."""
    intake = board.mailboxes["intake"]
    while True:
        await intake.wait_items()
        for item in intake.take():
            taken.append(item)
            if not isinstance(item, requests.SubmittedRequest):
                continue
            item.output.post(
                outputs.Started("engine-0", "vm-1", 200, "text/plain")
            )
            item.output.post_chunk(b"whole")
            item.output.post(outputs.Ended(outcomes.Outcome.COMPLETED))
