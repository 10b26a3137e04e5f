"""Runs the asynchronous functions of commands."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import httpcore

from bronzetrack.logservice import logservice
from bronzetrack.wire import httpclient

CONNECTIONS = 8


def run_with_pool(
    work: Callable[[httpcore.AsyncConnectionPool], Awaitable[Any]],
) -> Any:
    """Call a function with a connection pool and return its result."""

    async def run() -> Any:
        async with httpclient.make_pool(CONNECTIONS) as pool:
            return await work(pool)

    return anyio.run(run)


def run_with_log(
    url: str, work: Callable[[logservice.LogClient], Awaitable[Any]]
) -> Any:
    """Call a function with a log client and return its result."""
    return run_with_pool(lambda pool: work(logservice.LogClient(url, pool)))
