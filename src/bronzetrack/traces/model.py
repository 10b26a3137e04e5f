"""Model of a recorded trace: its events in order, and expected results."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class TraceEvent:
    """One record of a stream, or one event, as a daemon processed it.

    :param at_ms: monotonic time in milliseconds at which the daemon did so
    :param record: registered name and fields of the record or event
    :param offset: offset of the record in its stream, 0 for an event
    """

    at_ms: int
    record: tuple[str, Mapping[str, Any]]
    offset: int = 0


@attrs.frozen
class Trace:
    """A trace of one stream, or of the dispatch to one endpoint.

    :param stream: the stream that was recorded, or `dispatch`
    :param events: records or events in the order in which they were processed
    :param description: what happened, for readers of the trace
    :param outcomes: expected results of the replay by name; results that are
        not listed are not compared
    """

    stream: str
    events: tuple[TraceEvent, ...]
    description: str = ""
    outcomes: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Difference:
    """A result of the replay that differs from the trace.

    :param name: name of the result
    :param expected: the result that the trace expects
    :param replayed: the result of the replay, None if it has none
    """

    name: str
    expected: Any
    replayed: Any
