"""Validation of the idempotency keys that callers send."""

from __future__ import annotations

import hashlib
import uuid

import attrs

from bronzetrack.core import failures

MAX_KEY_LENGTH = 255
MAX_ISSUED_DIGITS = 15
ACCEPTANCE_WINDOW_MS = 3_600_000
FUTURE_SKEW_MS = 60_000
# A key is retained for longer than it is accepted, since the wall clocks of
# two VMs may differ by FUTURE_SKEW_MS in either direction.
KEY_RETENTION_MS = ACCEPTANCE_WINDOW_MS + 2 * FUTURE_SKEW_MS
# During the last part of KEY_RETENTION_MS, a VM bases no decision on its
# table. Otherwise, a wall clock that is set back could make the VM use a table
# from which the key was already trimmed.
DECIDABLE_MS = ACCEPTANCE_WINDOW_MS + FUTURE_SKEW_MS


@attrs.frozen
class IdempotencyKey:
    """A validated idempotency key.

    :param digest: digest of member and key, which identifies the key in the
        log
    :param issued_ms: Unix time in milliseconds at which the caller issued the
        key
    """

    digest: str
    issued_ms: int


def check_key(
    member: str, key: str, issued_header: str | None, now_wall_ms: int
) -> IdempotencyKey | failures.Failure:
    """Return the validated key, or the failure that refuses it.

    A key is refused unless this VM can guarantee at most one run of it.

    :param issued_header: value of the header `Idempotency-Issued-At`, None
        if the request does not have it
    :param now_wall_ms: present Unix time in milliseconds
    """
    if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        return failures.Failure(
            failures.Reason.KEY_INVALID,
            f"a key has 1 to {MAX_KEY_LENGTH} printable characters",
        )
    issued_ms = _read_issue_time(key, issued_header)
    if isinstance(issued_ms, failures.Failure):
        return issued_ms
    if issued_ms > now_wall_ms + FUTURE_SKEW_MS:
        return failures.Failure(
            failures.Reason.KEY_IN_FUTURE,
            f"issued {issued_ms - now_wall_ms} ms in the future",
        )
    if issued_ms < now_wall_ms - ACCEPTANCE_WINDOW_MS:
        return failures.Failure(
            failures.Reason.KEY_EXPIRED,
            f"issued more than {ACCEPTANCE_WINDOW_MS} ms ago",
        )
    digest = hashlib.blake2b(
        f"{member}\x00{key}".encode(), digest_size=16
    ).hexdigest()
    return IdempotencyKey(digest, issued_ms)


def is_decidable(issued_ms: int, now_wall_ms: int) -> bool:
    """Return whether a decision on a key may rely on the table of this VM.

    :param issued_ms: Unix time in milliseconds at which the key was issued
    """
    return now_wall_ms <= issued_ms + DECIDABLE_MS


def _read_issue_time(
    key: str, issued_header: str | None
) -> int | failures.Failure:
    if issued_header is not None:
        is_number = issued_header.isascii() and issued_header.isdigit()
        if is_number and len(issued_header) <= MAX_ISSUED_DIGITS:
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
