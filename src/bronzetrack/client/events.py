"""The text, end and errors in the body of an answer."""

from __future__ import annotations

import json
from typing import Any

import attrs

DATA_PREFIX = b"data: "
END = b"[DONE]"
EVENT_BYTES = 1_048_576


@attrs.define
class EventReader:
    """Reads server-sent events from the parts of a body.

    :param ended: whether the end marker was read
    :param error: the error that ended the answer, if one did
    """

    ended: bool = False
    error: dict[str, Any] | None = None
    _pending: bytes = b""

    def read(self, part: bytes) -> str:
        """Return the text of the events that a part completes."""
        *whole, self._pending = (self._pending + part).split(b"\n\n")
        # An event without end would otherwise grow without bound.
        self._pending = self._pending[:EVENT_BYTES]
        return "".join(self._read_event(event) for event in whole)

    def _read_event(self, event: bytes) -> str:
        data = b"\n".join(
            line.removeprefix(DATA_PREFIX)
            for line in event.split(b"\n")
            if line.startswith(DATA_PREFIX)
        )
        if data == END:
            self.ended = True
            return ""
        fields = read_object(data)
        if "error" in fields:
            error = fields["error"]
            self.error = error if isinstance(error, dict) else {}
        return extract_text(fields)


def read_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object, empty for anything else."""
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def extract_text(fields: dict[str, Any]) -> str:
    """Return the generated text of a whole answer or of one event."""
    choices = fields.get("choices")
    if not isinstance(choices, list):
        return ""
    return "".join(
        _extract_choice(choice) for choice in choices if _is_map(choice)
    )


def _extract_choice(choice: dict[str, Any]) -> str:
    if isinstance(choice.get("text"), str):
        return choice["text"]
    holders = (choice.get("delta"), choice.get("message"))
    found = (holder.get("content") for holder in holders if _is_map(holder))
    return "".join(text for text in found if isinstance(text, str))


def _is_map(value: Any) -> bool:
    return isinstance(value, dict)
