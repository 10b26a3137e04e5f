"""Splitting of a stream of server-sent events into complete events."""

from __future__ import annotations

import attrs

BOUNDARY = b"\n\n"


@attrs.define
class EventSplitter:
    """Keeps the bytes of an event until its end has arrived.

    The time is proportional to the bytes, however small the parts are.

    :param pending: bytes of the event that is still incomplete
    """

    pending: bytearray = attrs.field(factory=bytearray, repr=False)

    def split(self, part: bytes) -> list[bytes]:
        """Add a part and return the events that it completes.

        :returns: the events without the empty line at their end
        """
        searched = max(0, len(self.pending) - len(BOUNDARY) + 1)
        self.pending += part
        events = []
        start = 0
        while (end := self.pending.find(BOUNDARY, searched)) >= 0:
            events.append(bytes(self.pending[start:end]))
            start = searched = end + len(BOUNDARY)
        del self.pending[:start]
        return events
