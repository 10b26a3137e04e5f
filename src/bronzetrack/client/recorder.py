"""Records the retained part of a log stream as a trace."""

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

    The log stores no times, so all events have time 0. The recorded outcomes
    of an incident should be reviewed and corrected before the trace is used
    as a test.
    """
    end_batch = await log.read(stream, logservice.BEYOND_END)
    if isinstance(end_batch, failures.Failure):
        return end_batch
    core = cores.CORES.lookup(stream)()
    events: list[model.TraceEvent] = []
    offset = end_batch.start
    while offset < end_batch.end:
        batch = await log.read(stream, offset)
        if isinstance(batch, failures.Failure):
            return batch
        for record_offset, record in batch.records:
            offset = record_offset + 1
            if isinstance(record, failures.Failure):
                continue
            core.apply(0, record_offset, record)
            events.append(replay.make_event(0, record_offset, record))
    return model.Trace(stream, tuple(events), description, core.get_outcomes())
