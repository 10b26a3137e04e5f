"""What the caller of one request gets, until it has read it."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import blackboard
from bronzetrack.core import failures
from bronzetrack.streaming import outcomes

# Bounds the memory that one request may take. An answer of 64k tokens as
# server-sent events stays below it.
ANSWER_BYTES = 16_777_216
OUTPUT_EVENTS = 262_144


@attrs.frozen
class Started:
    """The answer begins."""

    endpoint: str
    vm: str
    status: int
    content_type: str


@attrs.frozen
class Chunk:
    """The next bytes of the answer."""

    data: bytes


@attrs.frozen
class Ended:
    """The answer ended."""

    outcome: outcomes.Outcome
    failure: failures.Failure | None = None


class Output:
    """Events of one answer that wait for a slow caller.

    :param request: id of the request
    """

    def __init__(self, request: str) -> None:
        self._events: blackboard.Mailbox[Any] = blackboard.Mailbox(
            request, OUTPUT_EVENTS
        )
        self._unread_bytes = 0

    def post_chunk(self, data: bytes) -> bool:
        """Add a chunk; return whether there was room for it."""
        # One place is kept for the start and one for the end of the answer.
        if len(self._events) >= OUTPUT_EVENTS - 2:
            return False
        if self._unread_bytes + len(data) > ANSWER_BYTES:
            return False
        self._unread_bytes += len(data)
        return self._events.post(Chunk(data))

    def post(self, event: Started | Ended) -> bool:
        """Add the start or the end of the answer."""
        return self._events.post(event)

    async def take(self) -> list[Any]:
        """Wait for events, remove and return them."""
        await self._events.wait_items()
        self._unread_bytes = 0
        return self._events.take()
