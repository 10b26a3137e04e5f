"""Events that the tasks of the dispatch controller report to it."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures
from bronzetrack.endpoints import reports


@attrs.frozen
class RunEnded:
    """A run ended and released its slot.

    :param failure: why the run did not complete, None if it did
    :param first_chunk_ms: time from dispatch to the first chunk, None if there
        was no chunk
    """

    endpoint: str
    attempt: str
    failure: failures.Failure | None = None
    first_chunk_ms: int | None = None


@attrs.frozen
class ChunksForwarded:
    """A stream forwarded some chunks.

    :param chunk_ms: mean time between the chunks in milliseconds
    """

    endpoint: str
    chunk_ms: float


@attrs.frozen
class LoadEnded:
    """A load order for an adapter version ended."""

    endpoint: str
    adapter: str
    failure: failures.Failure | None = None


@attrs.frozen
class UnloadEnded:
    """An unload order for an adapter version ended."""

    endpoint: str
    adapter: str
    failure: failures.Failure | None = None


@attrs.frozen
class FenceEnded:
    """A fence, an order that only transmits the fencing token, ended."""

    endpoint: str
    failure: failures.Failure | None = None


@attrs.frozen
class ReportReadEnded:
    """An attempt to read the load report of an endpoint ended."""

    endpoint: str
    report: reports.LoadReport | failures.Failure
