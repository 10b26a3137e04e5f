"""Result of a run under an idempotency key, for the log."""

from __future__ import annotations

import attrs

from bronzetrack.idempotency import records
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes


@attrs.define
class ResultCollector:
    """Collects the answer of a run for the record of its result.

    An answer of more than `records.STORED_ANSWER_BYTES` is not stored.
    """

    _work: messages.SubmitWork
    _vm: str
    _status: int = 0
    _content_type: str = ""
    _parts: list[bytes] = attrs.field(factory=list)
    _size_bytes: int = 0

    def start(self, status: int, content_type: str) -> None:
        """Set the status and the content type of the answer."""
        self._status = status
        self._content_type = content_type

    def add(self, data: bytes) -> None:
        """Add a chunk; drop all chunks once the answer is too large."""
        self._size_bytes += len(data)
        if self._size_bytes <= records.STORED_ANSWER_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()

    def make_record(
        self, outcome: outcomes.Outcome
    ) -> records.KeyResult | None:
        """Return the record of the result, None for work without a key.

        The record holds the answer only if it was completed, was collected
        from its first chunk on, and is not too large.
        """
        if self._work.key is None:
            return None
        is_stored = (
            outcome is outcomes.Outcome.COMPLETED
            and self._work.resume_from == 0
            and self._size_bytes <= records.STORED_ANSWER_BYTES
        )
        return records.KeyResult(
            key=self._work.key,
            attempt=self._work.resume_of or self._work.attempt,
            outcome=outcome.value,
            status=self._status,
            content_type=self._content_type,
            answer=b"".join(self._parts) if is_stored else None,
            vm=self._vm,
            endpoint=self._work.endpoint,
        )
