"""Replay of the keys stream, in which the first record of a key decides."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import Any

import attrs

from bronzetrack.idempotency import keys
from bronzetrack.idempotency import records

KEY_RECORDS = (records.KeyClaim, records.KeyVoid, records.KeyResult)


class KeyPhase(enum.Enum):
    """Phase of a key, according to the log.

    CLAIMED means that an attempt may run or has run, VOID that the key never
    runs, and ENDED that its run has a recorded result.
    """

    CLAIMED = "claimed"
    VOID = "void"
    ENDED = "ended"


@attrs.frozen
class KeyEntry:
    """The state of a key after the replay of its records.

    :param offset: offset of the first record, which decided the key
    :param issued_ms: Unix time in milliseconds at which the caller issued the
        key
    :param incarnation: incarnation of the claimant, empty for a key that was
        voided before any claim
    :param fingerprint: digest of the claimed request as its caller sent it,
        which is SubmitWork.digest and not SubmitWork.fingerprint
    :param result: the result record, None until it is read
    """

    phase: KeyPhase
    offset: int
    issued_ms: int
    incarnation: str = ""
    attempt: str = ""
    fingerprint: str = ""
    result: records.KeyResult | None = None


@attrs.define
class KeyTable:
    """The section of the keys controller.

    The controller changes the mapping in place: copying the keys of an hour
    for each record would cost more than everything else.

    :param next_offset: offset of the next log record to read
    :param caught_up: whether the whole window up to the end of the stream has
        been read
    :param log_reachable: whether the latest read of the stream succeeded
    :param entries: state of each key by its digest
    """

    next_offset: int = 0
    caught_up: bool = False
    log_reachable: bool = False
    entries: dict[str, KeyEntry] = attrs.field(factory=dict)


def trim_entries(
    entries: Mapping[str, KeyEntry], now_wall_ms: int
) -> dict[str, KeyEntry]:
    """Return the entries of the keys that callers may still send."""
    oldest_ms = now_wall_ms - keys.KEY_RETENTION_MS
    return {
        key: entry
        for key, entry in entries.items()
        if entry.issued_ms >= oldest_ms
    }


def apply_record(
    entries: Mapping[str, KeyEntry], offset: int, record: Any
) -> KeyEntry | None:
    """Return the new entry of a record's key, None if nothing changes.

    :param offset: offset of the record in the stream
    """
    if not isinstance(record, KEY_RECORDS):
        return None
    entry = entries.get(record.key)
    match record:
        case records.KeyClaim():
            return _apply_claim(entry, offset, record)
        case records.KeyVoid():
            return _apply_void(entry, offset, record)
        case records.KeyResult():
            return _apply_result(entry, record)
    return None


def _apply_claim(
    entry: KeyEntry | None, offset: int, record: records.KeyClaim
) -> KeyEntry | None:
    if entry is not None:
        return None
    return KeyEntry(
        phase=KeyPhase.CLAIMED,
        offset=offset,
        issued_ms=record.issued_ms,
        incarnation=record.incarnation,
        attempt=record.attempt,
        fingerprint=record.fingerprint,
    )


def _apply_void(
    entry: KeyEntry | None, offset: int, record: records.KeyVoid
) -> KeyEntry | None:
    if entry is None:
        return KeyEntry(
            phase=KeyPhase.VOID,
            offset=offset,
            issued_ms=record.issued_ms,
            attempt=record.attempt,
        )
    withdrawn = (
        entry.phase is KeyPhase.CLAIMED
        and entry.incarnation == record.incarnation
        and entry.attempt == record.attempt
    )
    return attrs.evolve(entry, phase=KeyPhase.VOID) if withdrawn else None


def _apply_result(
    entry: KeyEntry | None, record: records.KeyResult
) -> KeyEntry | None:
    if entry is None or entry.phase is not KeyPhase.CLAIMED:
        return None
    if entry.attempt != record.attempt:
        return None
    return attrs.evolve(entry, phase=KeyPhase.ENDED, result=record)
