"""Buffer for the answer to one request until its caller reads it."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import blackboard
from bronzetrack.core import failures
from bronzetrack.streaming import outcomes

# Limits the memory that one request may take. An answer of 64k tokens, sent
# as server-sent events, stays below the limit.
MAX_UNREAD_BYTES = 16_777_216
OUTPUT_EVENTS = 262_144


@attrs.frozen
class Started:
    """The start of the answer.

    :param vm: the VM that dispatched the request
    :param status: HTTP status of the answer
    """

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
    """The end of the answer.

    :param failure: why the request failed, None if it completed
    """

    outcome: outcomes.Outcome
    failure: failures.Failure | None = None


class Output:
    """Queue of the events of one answer that its caller has not read.

    :param request: id of the request
    """

    def __init__(self, request: str) -> None:
        self._events: blackboard.Mailbox[Any] = blackboard.Mailbox(
            request, OUTPUT_EVENTS
        )
        self._unread_bytes = 0

    def post_chunk(self, data: bytes) -> bool:
        """Add a chunk and return whether it fitted."""
        # One place is reserved for the start and one for the end of the
        # answer.
        if len(self._events) >= OUTPUT_EVENTS - 2:
            return False
        if self._unread_bytes + len(data) > MAX_UNREAD_BYTES:
            return False
        self._unread_bytes += len(data)
        return self._events.post(Chunk(data))

    def post(self, event: Started | Ended) -> bool:
        """Add the start or end of the answer and return whether it fitted."""
        return self._events.post(event)

    async def take(self) -> list[Any]:
        """Wait for events, and remove and return all of them."""
        await self._events.wait_items()
        self._unread_bytes = 0
        return self._events.take()
