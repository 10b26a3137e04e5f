"""Follows a stream of the log from an offset on."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable

import anyio

from bronzetrack.core import failures
from bronzetrack.logservice import logservice

# A stream that grows seldom. A read that waits ends when another stream's read
# fails; with the time-out of a read, a connection that broke unnoticed delays
# a record by 6 s at most, within the 7 s for a configuration change.
WAIT_MS = 3_000
# The read of one stream, which shows an outage of the log to the others.
PROBE_WAIT_MS = 1_000
RETRY_MS = 250


async def follow_stream(
    log: logservice.LogClient, stream: str, offset: int = 0
) -> AsyncIterator[logservice.LogBatch | failures.Failure]:
    """Iterate over the batches of a stream, and the failures to read it.

    A reader that fell below the retained range goes on at its start.
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
    probes: bool = False,
) -> AsyncIterator[logservice.LogBatch | failures.Failure]:
    """Iterate like `follow_stream`, with the position kept by the reader.

    A reader that fell below the retained range gets a batch without records,
    whose start is above its position.

    :param read_position: returns the offset to read next
    :param probes: whether reads are short and show an outage to others, and
        are not ended by a failure of another stream
    """
    wait_ms = PROBE_WAIT_MS if probes else WAIT_MS
    # At the start and after a failure a success is shown at once, also without
    # a record: a reader has caught up only when it knows the end.
    at_once = True
    while True:
        batch = await log.read(
            stream,
            read_position(),
            wait_ms=0 if at_once else wait_ms,
            interruptible=not probes,
        )
        if (
            isinstance(batch, failures.Failure)
            and batch.reason is failures.Reason.LOG_TRUNCATED
        ):
            # A read beyond the end names the retained range.
            batch = await log.read(stream, logservice.BEYOND_END)
        at_once = isinstance(batch, failures.Failure)
        yield batch
        if at_once:
            await anyio.sleep(RETRY_MS / 1000)
