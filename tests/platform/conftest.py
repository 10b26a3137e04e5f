"""Fixtures of the adapter: a store that a test controls."""

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
    """Run on the loop of the product."""
    return "asyncio"


@pytest.fixture
def log() -> logstore.LogStore:
    """Contents and faults of the store."""
    return logstore.LogStore()


@pytest.fixture
async def store(log: logstore.LogStore) -> AsyncIterator[stores.Store]:
    """Client of a running store."""
    server = rawhttp.RawServer(log.handle)
    address = await server.start()
    yield stores.Store(calls.Caller(time.monotonic), address)
    await server.stop()
