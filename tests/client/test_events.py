"""Tests of the parser of streamed answers."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from bronzetrack.client import events

BODY = (
    b'data: {"choices": [{"text": "a"}]}\n\n'
    b'data: {"choices": [{"delta": {"content": "b"}}]}\n\n'
    b'event: error\ndata: {"error": {"outcome": "unknown"}}\n\n'
    b"data: [DONE]\n\n"
)


def test_text_does_not_depend_on_the_parts():
    """Guards against tokens lost at the boundary of two parts."""

    @hypothesis.given(strategies.sets(strategies.integers(0, len(BODY))))
    def check(cuts) -> None:
        bounds = [0, *sorted(cuts), len(BODY)]
        reader = events.EventReader()
        text = "".join(
            reader.read(BODY[start:end])
            for start, end in zip(bounds, bounds[1:])
        )
        assert text == "ab"
        assert reader.ended
        assert reader.error == {"outcome": "unknown"}

    check()


def test_any_bytes_are_read():
    """Guards against a traceback for a malformed answer."""

    @hypothesis.given(strategies.lists(strategies.binary(max_size=40)))
    def check(parts) -> None:
        reader = events.EventReader()
        for part in parts:
            reader.read(part)
            reader.read(b"data: " + part + b"\n\n")

    check()
