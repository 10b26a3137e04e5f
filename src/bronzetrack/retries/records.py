"""Log records of the stream `crashes`."""

from __future__ import annotations

import attrs

from bronzetrack.core import records

STREAM = "crashes"


@records.RECORDS.register("crash")
@attrs.frozen
class CrashRecord:
    """An endpoint crashed while it ran requests.

    :param crash: id of the crash; the record reaches other VMs both
        through the log and as a peer message, and has to count once
    :param fingerprints: fingerprints of the requests that ran on the endpoint
    :param wall_ms: Unix time in milliseconds at which the record was made
    """

    crash: str
    endpoint: str
    fingerprints: tuple[str, ...]
    wall_ms: int


@records.RECORDS.register("clearance")
@attrs.frozen
class ClearanceRecord:
    """A request suspected of crashing endpoints completed while it ran alone.

    :param crashes: the crashes that the suspect did not cause
    :param wall_ms: Unix time in milliseconds at which the record was made
    """

    fingerprint: str
    crashes: tuple[str, ...]
    wall_ms: int
