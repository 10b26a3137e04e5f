"""Fixtures of the HTTP server and client tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import time

import pytest

from bronzetrack.entry import routes
from bronzetrack.transport import account as accounts
from bronzetrack.transport import server
from standins import ports

HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend() -> str:
    """Run async tests on asyncio, as the software does."""
    return "asyncio"


@pytest.fixture
async def listen() -> AsyncIterator[Callable[..., Awaitable[tuple]]]:
    """Function that starts a listener and returns it with its port.

    The listeners are stopped after the test.
    """
    listeners = []

    async def start(
        serve, room=accounts.Machine().caller_connections, **limits
    ):
        listener = server.Listener(serve, time.monotonic, max_connections=room)
        listener.limits = routes.Limits(**limits)
        port = ports.hold_port(HOST)
        await listener.open(f"{HOST}:{port}")
        listeners.append(listener)
        return listener, port

    yield start
    for listener in listeners:
        listener.stop_listening()


@pytest.fixture
def now() -> float:
    """Return the present time of a decision, in seconds."""
    return 1_000.0
