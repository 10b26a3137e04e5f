"""Records of the store about requests that are refused.

They outlive the processes: a request that crashes endpoints is still refused
after all VMs have restarted.
"""

from __future__ import annotations

import attrs
import msgpack

from bronzetrack.core import errors
from bronzetrack.entry import messages
from bronzetrack.entry.suspects import suspects


class SuspectRecordError(errors.BronzetrackError):
    """A record of a suspect that is not valid."""


@attrs.frozen
class SuspectRecord:
    """Crashes because of which requests with one key are refused.

    :param crashed_ms: Unix time of each crash in milliseconds, by the id of
        the endpoint's start
    """

    crashed_ms: dict[str, int]

    def is_expired(self, wall_s: float) -> bool:
        """Return whether no crash counts any more.

        :param wall_s: present Unix time in seconds
        """
        latest_s = max(self.crashed_ms.values(), default=0) / 1000
        return wall_s - latest_s >= suspects.RETENTION_S


def make_record(
    evidence: suspects.Evidence, now: float, wall_s: float
) -> SuspectRecord:
    """Return the record of the evidence against a key.

    :param wall_s: Unix time in seconds at the time `now`
    """
    return SuspectRecord(
        {
            start: int(1000 * (wall_s - (now - at)))
            for start, at in evidence.crashes.items()
        }
    )


def compute_times(
    record: SuspectRecord, now: float, wall_s: float
) -> dict[str, float]:
    """Return the time of each crash of a record on this VM's clock.

    The clocks of VMs differ, so that a crash may seem to lie in the future.

    :param wall_s: Unix time in seconds at the time `now`
    """
    return {
        start: now - max(0.0, wall_s - crashed_ms / 1000)
        for start, crashed_ms in record.crashed_ms.items()
    }


def encode_record(record: SuspectRecord) -> bytes:
    """Return the value that is written to the store."""
    return msgpack.packb(record.crashed_ms)


def decode_record(value: bytes) -> SuspectRecord:
    """Decode a value of the store.

    :raises SuspectRecordError: the value is not a valid record
    """
    try:
        crashed_ms = msgpack.unpackb(value)
    except messages.DECODE_ERRORS as error:
        raise SuspectRecordError(f"invalid record: {error!r}") from error
    if not isinstance(crashed_ms, dict) or not all(
        isinstance(start, str) and isinstance(at, int)
        for start, at in crashed_ms.items()
    ):
        raise SuspectRecordError("the record does not map starts to times")
    return SuspectRecord(crashed_ms)
