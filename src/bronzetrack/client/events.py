"""Parsing of answer bodies: text, end marker and errors."""

from __future__ import annotations

import json
from typing import Any

import attrs

from bronzetrack.streaming import splitter

DATA_PREFIX = b"data: "
END_MARKER = b"[DONE]"
MAX_EVENT_BYTES = 1_048_576


@attrs.define
class EventReader:
    """Parses server-sent events from the parts of a body.

    :param ended: whether the end marker was read
    :param error: the error that ended the answer, if one did
    """

    ended: bool = False
    error: dict[str, Any] | None = None
    _splitter: splitter.EventSplitter = attrs.field(
        factory=splitter.EventSplitter
    )

    def read(self, part: bytes) -> str:
        """Add a part of the body and return the text of completed events."""
        complete = self._splitter.split(part)
        # Bounds the memory that an event without an end can use.
        del self._splitter.pending[MAX_EVENT_BYTES:]
        return "".join(self._read_event(event) for event in complete)

    def _read_event(self, event: bytes) -> str:
        data = b"\n".join(
            line.removeprefix(DATA_PREFIX)
            for line in event.split(b"\n")
            if line.startswith(DATA_PREFIX)
        )
        if data == END_MARKER:
            self.ended = True
            return ""
        fields = read_object(data)
        if "error" in fields:
            error = fields["error"]
            self.error = error if isinstance(error, dict) else {}
        return extract_text(fields)


def read_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object in some data, or an empty one if invalid."""
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def extract_text(fields: dict[str, Any]) -> str:
    """Return the generated text of a complete answer or of one event."""
    choices = fields.get("choices")
    if not isinstance(choices, list):
        return ""
    return "".join(
        _extract_choice(choice) for choice in choices if _is_object(choice)
    )


def _extract_choice(choice: dict[str, Any]) -> str:
    if isinstance(choice.get("text"), str):
        return choice["text"]
    containers = (choice.get("delta"), choice.get("message"))
    found = (
        container.get("content")
        for container in containers
        if _is_object(container)
    )
    return "".join(text for text in found if isinstance(text, str))


def _is_object(value: Any) -> bool:
    return isinstance(value, dict)
