"""Follows a stream of the log from an offset onwards."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable

import anyio

from bronzetrack.core import failures
from bronzetrack.logservice import logservice

# Wait of a read of a stream to which records are rarely appended. A waiting
# read ends when a read of another stream fails. With the timeout of a read, a
# connection that broke unnoticed delays a record by at most 6 s, within the
# 7 s for a configuration change.
WAIT_MS = 3_000
# Shorter wait of the reads of one stream, which detect an outage of the log
# for the other streams.
PROBE_WAIT_MS = 1_000
RETRY_MS = 250


async def follow_stream(
    log: logservice.LogClient, stream: str, offset: int = 0
) -> AsyncIterator[logservice.LogBatch | failures.Failure]:
    """Iterate over the batches of a stream and the failures of its reads.

    A reader whose position is below the retained range continues at the start
    of that range.

    :param offset: the first offset to read
    """
    async for batch in follow_position(log, stream, lambda: offset):
        if isinstance(batch, failures.Failure):
            yield batch
        elif batch.start > offset and not batch.records:
            offset = batch.start
        else:
            yield batch
            if batch.records:
                offset = batch.records[-1][0] + 1


async def follow_position(
    log: logservice.LogClient,
    stream: str,
    read_position: Callable[[], int],
    is_probe: bool = False,
) -> AsyncIterator[logservice.LogBatch | failures.Failure]:
    """Iterate like `follow_stream`, but let the reader keep the position.

    A reader whose position is below the retained range gets a batch without
    records, whose start is above the position.

    :param read_position: returns the offset to read next
    :param is_probe: whether reads have a short wait, so that they detect an
        outage for other streams, and do not end when a read of another stream
        fails
    """
    wait_ms = PROBE_WAIT_MS if is_probe else WAIT_MS
    # The first read and the read after a failure do not wait for a record,
    # since a reader has caught up only when it knows the end of the stream.
    at_once = True
    while True:
        batch = await log.read(
            stream,
            read_position(),
            wait_ms=0 if at_once else wait_ms,
            interruptible=not is_probe,
        )
        if (
            isinstance(batch, failures.Failure)
            and batch.reason is failures.Reason.LOG_TRUNCATED
        ):
            # A read beyond the end returns the retained range.
            batch = await log.read(stream, logservice.BEYOND_END)
        at_once = isinstance(batch, failures.Failure)
        yield batch
        if at_once:
            await anyio.sleep(RETRY_MS / 1000)
