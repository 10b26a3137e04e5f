"""Fixtures of the HTTP edges."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import time

import pytest

from bronzetrack.entry import routes
from bronzetrack.transport import server
from standins import site as sites

HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend() -> str:
    """Run on the loop of the product."""
    return "asyncio"


@pytest.fixture
async def listen() -> AsyncIterator[Callable[..., Awaitable[tuple]]]:
    """Starts a listener and returns it with its port."""
    opened = []

    async def start(serve, **bounds):
        listener = server.Listener(serve, time.monotonic)
        listener.bounds = routes.Limits(**bounds)
        port = sites.find_port(HOST)
        await listener.open(f"{HOST}:{port}")
        opened.append(listener)
        return listener, port

    yield start
    for listener in opened:
        listener.stop_listening()
