"""Replay of the keys stream: the first record of a key decides."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import Any

import attrs

from bronzetrack.idempotency import keys
from bronzetrack.idempotency import records

KEY_RECORDS = (records.KeyClaim, records.KeyVoid, records.KeyResult)


class KeyPhase(enum.Enum):
    """What the log says about a key."""

    CLAIMED = "claimed"
    VOID = "void"
    ENDED = "ended"


@attrs.frozen
class KeyEntry:
    """The decided state of a key.

    :param offset: offset of the deciding record
    :param incarnation: the claimant, empty for a key void from the start
    :param result: the result record, once read
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

    The mapping is changed in place by its controller, since a copy of an
    hour of keys for each record would cost more than everything else.

    :param next_offset: the log position that is read next
    :param caught_up: whether the whole window up to the end has been read
    :param log_reachable: whether the last read of the stream succeeded
    """

    next_offset: int = 0
    caught_up: bool = False
    log_reachable: bool = False
    entries: dict[str, KeyEntry] = attrs.field(factory=dict)


def trim_entries(
    entries: Mapping[str, KeyEntry], now_wall_ms: int
) -> dict[str, KeyEntry]:
    """Return the entries of keys that may still be sent."""
    oldest_ms = now_wall_ms - keys.KEPT_MS
    return {
        key: entry
        for key, entry in entries.items()
        if entry.issued_ms >= oldest_ms
    }


def apply_record(
    entries: Mapping[str, KeyEntry], offset: int, record: Any
) -> KeyEntry | None:
    """Return the new entry of the record's key, None if nothing changes."""
    if not isinstance(record, KEY_RECORDS):
        return None
    known = entries.get(record.key)
    match record:
        case records.KeyClaim():
            return _apply_claim(known, offset, record)
        case records.KeyVoid():
            return _apply_void(known, offset, record)
        case records.KeyResult():
            return _apply_result(known, record)
    return None


def _apply_claim(
    known: KeyEntry | None, offset: int, record: records.KeyClaim
) -> KeyEntry | None:
    if known is not None:
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
    known: KeyEntry | None, offset: int, record: records.KeyVoid
) -> KeyEntry | None:
    if known is None:
        return KeyEntry(
            phase=KeyPhase.VOID,
            offset=offset,
            issued_ms=record.issued_ms,
            attempt=record.attempt,
        )
    own = (
        known.phase is KeyPhase.CLAIMED
        and known.incarnation == record.incarnation
        and known.attempt == record.attempt
    )
    return attrs.evolve(known, phase=KeyPhase.VOID) if own else None


def _apply_result(
    known: KeyEntry | None, record: records.KeyResult
) -> KeyEntry | None:
    if known is None or known.phase is not KeyPhase.CLAIMED:
        return None
    if known.attempt != record.attempt:
        return None
    return attrs.evolve(known, phase=KeyPhase.ENDED, result=record)
