"""A recorded trace: events in order, and the outcomes they must have."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class TraceEvent:
    """One record of a stream, or one event, as a daemon took it in.

    :param at_ms: monotonic time at which it did
    :param record: registered name and fields of the record or event
    :param offset: offset of a record
    """

    at_ms: int
    record: tuple[str, Mapping[str, Any]]
    offset: int = 0


@attrs.frozen
class Trace:
    """A trace of one stream, or of the dispatch to one endpoint.

    :param stream: the stream that was recorded, or `dispatch`
    :param description: what happened, for a person
    :param events: records in the order in which they were read
    :param outcomes: what the replay has to come to, by name; names that are
        not stated are not compared
    """

    stream: str
    events: tuple[TraceEvent, ...]
    description: str = ""
    outcomes: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Difference:
    """An outcome that is not as stated."""

    name: str
    stated: Any
    replayed: Any
