"""Event streams cut into whole events."""

from __future__ import annotations

import attrs

BOUNDARY = b"\n\n"
ID_FIELD = b"id:"


@attrs.define
class EventBuffer:
    """Holds back the part of an event that has not arrived whole.

    :param last_id: id of the last whole event
    """

    last_id: int | None = None
    rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that the data complete."""
        data = self.rest + data
        end = data.rfind(BOUNDARY)
        if end < 0:
            self.rest = data
            return b""
        end += len(BOUNDARY)
        self.rest = data[end:]
        whole = data[:end]
        self._note_id(whole)
        return whole

    def discard_rest(self) -> None:
        """Drop the part of an event that will not be completed."""
        self.rest = b""

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + ID_FIELD)
        if start < 0:
            if not whole.startswith(ID_FIELD):
                return
            start = -1
        line_end = whole.find(b"\n", start + 1)
        value = whole[start + 1 + len(ID_FIELD) : line_end].strip()
        if value.isdigit():
            self.last_id = int(value)
