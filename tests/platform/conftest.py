"""Fixtures of the platform adapter: a fake store and its client."""

from __future__ import annotations

from collections.abc import AsyncIterator
import time

import pytest

from bronzetrack.platform import store as stores
from bronzetrack.transport import calls
from standins import logstore
from standins import rawhttp


@pytest.fixture
def anyio_backend() -> str:
    """Run async tests on asyncio, as the software does."""
    return "asyncio"


@pytest.fixture
def log() -> logstore.LogStore:
    """Fake store, whose contents and faults the test sets."""
    return logstore.LogStore()


@pytest.fixture
async def store(log: logstore.LogStore) -> AsyncIterator[stores.Store]:
    """Client of the fake store, which runs behind an HTTP server."""
    server = rawhttp.RawServer(log.handle)
    address = await server.start()
    yield stores.Store(calls.HttpClient(time.monotonic), address)
    await server.stop()
