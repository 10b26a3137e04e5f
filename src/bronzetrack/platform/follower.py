"""Follows a stream of the log from an offset on."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import anyio

from bronzetrack.core import failures

if TYPE_CHECKING:
    from bronzetrack.platform import logservice

WAIT_MS = 1_000
RETRY_MS = 250


async def follow_stream(
    log: logservice.LogClient, stream: str, offset: int = 0
) -> AsyncIterator[logservice.LogBatch | failures.Failure]:
    """Iterate over the batches of a stream, and the failures to read it.

    A reader that fell below the retained range goes on at its start.
    """
    while True:
        batch = await log.read(stream, offset, wait_ms=WAIT_MS)
        yield batch
        if isinstance(batch, failures.Failure):
            if batch.reason is failures.Reason.LOG_TRUNCATED:
                offset = await _find_start(log, stream, offset)
            await anyio.sleep(RETRY_MS / 1000)
            continue
        if batch.records:
            offset = batch.records[-1][0] + 1
        elif batch.end > offset:
            offset = max(offset, batch.start)


async def _find_start(
    log: logservice.LogClient, stream: str, offset: int
) -> int:
    """Return the earliest offset; a read beyond the end names it."""
    beyond = await log.read(stream, 1 << 62)
    return offset if isinstance(beyond, failures.Failure) else beyond.start
