"""Log records of the stream `crashes`."""

from __future__ import annotations

import attrs

from bronzetrack.core import records

STREAM = "crashes"


@records.RECORDS.register("crash")
@attrs.frozen
class CrashRecord:
    """An endpoint crashed while it ran requests.

    :param crash: identifies the crash, since it is also sent to peers
    :param fingerprints: of all the requests that ran there
    """

    crash: str
    endpoint: str
    fingerprints: tuple[str, ...]
    wall_ms: int


@records.RECORDS.register("clearance")
@attrs.frozen
class ClearanceRecord:
    """A suspect completed alone.

    :param crashes: the crashes that it did not cause
    """

    fingerprint: str
    crashes: tuple[str, ...]
    wall_ms: int
