"""Splitting of event streams into complete events."""

from __future__ import annotations

import attrs

BOUNDARY = b"\n\n"
ID_FIELD = b"id:"


@attrs.define
class EventBuffer:
    """Buffers an event until it has arrived completely.

    :param last_id: numeric id of the last complete event that had one
    :param rest: received bytes of the event that is still incomplete
    """

    last_id: int | None = None
    rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add data and return the bytes of all events now complete."""
        data = self.rest + data
        end = data.rfind(BOUNDARY)
        if end < 0:
            self.rest = data
            return b""
        end += len(BOUNDARY)
        self.rest = data[end:]
        complete = data[:end]
        self._update_last_id(complete)
        return complete

    def discard_rest(self) -> None:
        """Discard an incomplete event whose remainder will not arrive."""
        self.rest = b""

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b"\n" + ID_FIELD)
        if start < 0:
            if not complete.startswith(ID_FIELD):
                return
            start = -1
        line_end = complete.find(b"\n", start + 1)
        value = complete[start + 1 + len(ID_FIELD) : line_end].strip()
        if value.isdigit():
            self.last_id = int(value)
