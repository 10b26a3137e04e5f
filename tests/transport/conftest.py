"""Fixtures of the HTTP edges."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import time

import pytest

from bronzetrack.entry import routes
from bronzetrack.transport import server


@pytest.fixture
def anyio_backend() -> str:
    """Run on the loop of the product."""
    return "asyncio"


def find_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.fixture
async def listen() -> AsyncIterator[Callable[..., Awaitable[tuple]]]:
    """Starts a listener and returns it with its port."""
    opened = []

    async def start(serve, **bounds):
        listener = server.Listener(serve, time.monotonic)
        listener.bounds = routes.Limits(**bounds)
        port = find_port()
        await listener.open(f"127.0.0.1:{port}")
        opened.append(listener)
        return listener, port

    yield start
    for listener in opened:
        listener.stop_listening()
