"""Status reports of endpoints."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

# Longest time between the production of a report and its reading. Engines
# publish late. With a longer delay, an adapter in use could be taken for idle.
REPORT_LAG_MS = 5_000


@attrs.frozen
class LoadReport:
    """A status report of an engine, which may be out of date.

    :param boot: random value that identifies this run of the engine
    :param produced_ms: Unix time in milliseconds at which the engine produced
        the report
    :param running: number of running requests by adapter version
    :param loaded: adapter versions that are loaded
    """

    boot: str
    produced_ms: int
    running: Mapping[str, int] = attrs.field(factory=dict)
    loaded: tuple[str, ...] = ()
    queued: int = 0
    leaving: bool = False
