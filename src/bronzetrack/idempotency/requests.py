"""Requests that other controllers send to the keys controller."""

from __future__ import annotations

import attrs

from bronzetrack.idempotency import records


@attrs.frozen
class AppendKey:
    """Append a record and retry until the log service confirms it."""

    record: records.KeyClaim | records.KeyVoid | records.KeyResult


@attrs.frozen
class WithdrawClaim:
    """Stop retrying to append the claim of an attempt."""

    attempt: str
