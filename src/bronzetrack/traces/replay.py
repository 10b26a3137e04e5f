"""Replay, reading and writing of traces."""

from __future__ import annotations

from typing import Any

from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.core import records
from bronzetrack.core import registry
from bronzetrack.traces import cores
from bronzetrack.traces import model
from bronzetrack.wire import converter


def replay_trace(
    trace: model.Trace,
) -> tuple[model.Difference, ...] | failures.Failure:
    """Replay a trace and return the results that differ from the expected.

    :returns: the differences, or a failure if the trace is invalid
    """
    try:
        core = cores.CORES.lookup(trace.stream)()
        for event in trace.events:
            record = _read_record(event, core.events)
            core.apply(event.at_ms, event.offset, record)
    except errors.UnknownEntryError as error:
        return failures.Failure(failures.Reason.TRACE_INVALID, str(error))
    except errors.FailureError as error:
        return error.failure
    replayed = core.get_outcomes()
    return tuple(
        model.Difference(name, expected, replayed.get(name))
        for name, expected in trace.outcomes.items()
        if replayed.get(name) != expected
    )


def _read_record(
    event: model.TraceEvent, classes: registry.Registry[type]
) -> Any:
    name, fields = event.record
    cls = classes.lookup(name)
    try:
        return converter.JSON.structure(fields, cls)
    # Corrupt input makes cattrs raise many kinds of error.
    except Exception as error:
        raise errors.FailureError(
            converter.describe_failure(failures.Reason.TRACE_INVALID, error)
        ) from None


def read_trace(text: str) -> model.Trace | failures.Failure:
    """Parse the text of a trace file.

    :returns: the trace, or a failure if the text is invalid
    """
    try:
        return converter.JSON.loads(text, model.Trace)
    # Corrupt input makes json and cattrs raise many kinds of error.
    except Exception as error:
        return converter.describe_failure(failures.Reason.TRACE_INVALID, error)


def write_trace(trace: model.Trace) -> str:
    """Return the text of a trace file."""
    return converter.JSON.dumps(trace, indent=2)


def make_event(at_ms: int, offset: int, record: Any) -> model.TraceEvent:
    """Return the trace event of a record that was read from the log."""
    names = {cls: name for name, cls in records.RECORDS.items()}
    fields = converter.JSON.unstructure(record)
    return model.TraceEvent(at_ms, (names[type(record)], fields), offset)
