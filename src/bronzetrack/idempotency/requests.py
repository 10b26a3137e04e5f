"""What other controllers ask of the keys controller."""

from __future__ import annotations

import attrs

from bronzetrack.idempotency import records


@attrs.frozen
class AppendKey:
    """Append a record, trying again until the service confirms it."""

    record: records.KeyClaim | records.KeyVoid | records.KeyResult


@attrs.frozen
class WithdrawClaim:
    """Stop trying to append the claim of an attempt."""

    attempt: str
