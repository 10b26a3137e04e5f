"""Checks of the idempotency keys that callers send."""

from __future__ import annotations

import hashlib
import uuid

import attrs

from bronzetrack.core import failures

KEY_LENGTH = 255
ISSUED_DIGITS = 15
WINDOW_MS = 3_600_000
FUTURE_SKEW_MS = 60_000
# A key is kept for longer than it is accepted, since the clocks of two VMs
# may differ by the skew in either direction.
KEPT_MS = WINDOW_MS + 2 * FUTURE_SKEW_MS
# A VM decides nothing from its table in the last part of KEPT_MS, so that a
# wall clock that is set back does not make it use a table that was trimmed.
DECIDED_MS = WINDOW_MS + FUTURE_SKEW_MS


@attrs.frozen
class IdempotencyKey:
    """A checked key.

    :param digest: digest of member and key, as the log has it
    :param issued_ms: Unix time at which the caller issued it
    """

    digest: str
    issued_ms: int


def check_key(
    member: str, key: str, issued_header: str | None, now_wall_ms: int
) -> IdempotencyKey | failures.Failure:
    """Return the checked key or why it cannot be served at most once.

    :param issued_header: value of the header `Idempotency-Issued-At`
    """
    if not 0 < len(key) <= KEY_LENGTH or not key.isprintable():
        return failures.Failure(
            failures.Reason.KEY_INVALID,
            f"a key has 1 to {KEY_LENGTH} printable characters",
        )
    issued_ms = _read_issue_time(key, issued_header)
    if isinstance(issued_ms, failures.Failure):
        return issued_ms
    if issued_ms > now_wall_ms + FUTURE_SKEW_MS:
        return failures.Failure(
            failures.Reason.KEY_IN_FUTURE,
            f"issued {issued_ms - now_wall_ms} ms in the future",
        )
    if issued_ms < now_wall_ms - WINDOW_MS:
        return failures.Failure(
            failures.Reason.KEY_EXPIRED,
            f"issued more than {WINDOW_MS} ms ago",
        )
    digest = hashlib.blake2b(
        f"{member}\x00{key}".encode(), digest_size=16
    ).hexdigest()
    return IdempotencyKey(digest, issued_ms)


def is_decidable(issued_ms: int, now_wall_ms: int) -> bool:
    """Return whether the table of this VM still decides about a key."""
    return now_wall_ms <= issued_ms + DECIDED_MS


def _read_issue_time(
    key: str, issued_header: str | None
) -> int | failures.Failure:
    if issued_header is not None:
        digits = issued_header.isascii() and issued_header.isdigit()
        if digits and len(issued_header) <= ISSUED_DIGITS:
            return int(issued_header)
        return failures.Failure(
            failures.Reason.KEY_INVALID,
            "Idempotency-Issued-At holds Unix milliseconds",
        )
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        return failures.Failure(
            failures.Reason.KEY_ISSUE_TIME_MISSING,
            "send a UUIDv7 key or the header Idempotency-Issued-At",
        )
    return parsed.int >> 80
