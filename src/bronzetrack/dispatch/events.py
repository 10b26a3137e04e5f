"""What the tasks of the dispatch controller report to it."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures
from bronzetrack.endpoints import reports


@attrs.frozen
class RunEnded:
    """A run gave its slot back.

    :param failure: why it did not complete
    :param first_chunk_ms: time from dispatch to the first chunk, if any
    """

    endpoint: str
    attempt: str
    failure: failures.Failure | None = None
    first_chunk_ms: int | None = None


@attrs.frozen
class ChunksPassed:
    """A stream passed some chunks.

    :param chunk_ms: mean time between them
    """

    endpoint: str
    chunk_ms: float


@attrs.frozen
class LoadEnded:
    """An order to load an adapter version ended."""

    endpoint: str
    adapter: str
    failure: failures.Failure | None = None


@attrs.frozen
class UnloadEnded:
    """An order to unload an adapter version ended."""

    endpoint: str
    adapter: str
    failure: failures.Failure | None = None


@attrs.frozen
class FenceEnded:
    """An order that only carries the fencing number ended."""

    endpoint: str
    failure: failures.Failure | None = None


@attrs.frozen
class ReportRead:
    """A load report of an endpoint was read."""

    endpoint: str
    report: reports.LoadReport | failures.Failure
