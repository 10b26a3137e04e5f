"""What endpoints report of themselves."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

# Longest time between the making of a report and its reading. Engines
# publish late; one that is later than this would let an adapter in use be
# taken as idle.
REPORT_LAG_MS = 5_000


@attrs.frozen
class LoadReport:
    """A load report of an engine, possibly late.

    :param boot: random value of this run of the engine
    :param produced_ms: Unix time at which the engine made the report
    :param running: running requests by adapter version
    :param loaded: adapter versions that are loaded
    """

    boot: str
    produced_ms: int
    running: Mapping[str, int] = attrs.field(factory=dict)
    loaded: tuple[str, ...] = ()
    queued: int = 0
    leaving: bool = False
