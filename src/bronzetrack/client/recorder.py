"""Records the retained part of a stream as a trace."""

from __future__ import annotations

from bronzetrack.core import failures
from bronzetrack.logservice import logservice
from bronzetrack.traces import cores
from bronzetrack.traces import model
from bronzetrack.traces import replay


async def record_stream(
    log: logservice.LogClient, stream: str, description: str = ""
) -> model.Trace | failures.Failure:
    """Return a trace of a stream, with the outcomes of its replay.

    The log keeps no times, so all events have time 0. A person who checks
    the outcomes of an incident edits them before the trace becomes a test.
    """
    beyond = await log.read(stream, logservice.BEYOND_END)
    if isinstance(beyond, failures.Failure):
        return beyond
    core = cores.CORES.lookup(stream)()
    events: list[model.TraceEvent] = []
    offset = beyond.start
    while offset < beyond.end:
        batch = await log.read(stream, offset)
        if isinstance(batch, failures.Failure):
            return batch
        for found, record in batch.records:
            offset = found + 1
            if isinstance(record, failures.Failure):
                continue
            core.apply(0, found, record)
            events.append(replay.make_event(0, found, record))
    return model.Trace(
        stream, tuple(events), description, core.read_outcomes()
    )
