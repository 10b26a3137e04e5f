"""Tests of the splitting of streams into complete events."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from bronzetrack.entry import events

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6))


@hypothesis.given(strategies.sets(strategies.integers(1, len(STREAM) - 1)))
def test_any_split_yields_the_same_complete_events(splits):
    """Guards against events that are merged or lost at packet boundaries."""
    buffer = events.EventBuffer()
    edges = [0, *sorted(splits), len(STREAM)]
    parts = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert b"".join(buffer.feed(part) for part in parts) == STREAM
    assert buffer.last_id == 5
    assert not buffer.rest


def test_incomplete_event_is_discarded_before_a_resume():
    """Guards against an event merged from two runs of a request."""
    buffer = events.EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    buffer.discard_rest()
    assert buffer.last_id == 1
    assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
