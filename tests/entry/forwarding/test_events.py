"""Tests of the splitting of streams into complete events."""

from __future__ import annotations

import re
import time

import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.entry.forwarding import events

# The longest event that is kept in memory, and many times what it takes.
EVENT_BYTES = 256 * 1024
PROCESSOR_LIMIT_S = 5.0
STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6))


@hypothesis.given(
    strategies.sampled_from([b"\n", b"\r\n", b"\r"]),
    strategies.sets(strategies.integers(1, len(STREAM) - 1)),
)
def test_any_split_yields_the_same_complete_events(line_end, splits):
    """Guards against events that are merged or lost at packet boundaries."""
    buffer = events.EventBuffer()
    stream = STREAM.replace(b"\n", line_end)
    edges = [0, *sorted(splits), len(stream)]
    parts = [stream[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert b"".join(buffer.feed(part) for part in parts) == stream
    assert buffer.last_id == 5
    assert not buffer.rest


def test_event_byte_by_byte_takes_time_in_proportion_to_its_length():
    """Guards against a stream that keeps a VM from all else.

    Copying the whole event for each byte took 28 s.
    """
    buffer = events.EventBuffer()
    started_at = time.process_time()
    for _ in range(EVENT_BYTES):
        buffer.feed(b"a")
    assert buffer.feed(b"\n\n").endswith(b"a\n\n")
    assert time.process_time() - started_at < PROCESSOR_LIMIT_S


def test_incomplete_event_is_discarded_before_a_resume():
    """Guards against an event merged from two runs of a request."""
    buffer = events.EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    buffer.discard_rest()
    assert buffer.last_id == 1
    assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize(
    ("again", "passed"),
    [
        (b": b\n\n: c\n\nid: 2\ndata: x\n\n", b"id: 2\ndata: x\n\n"),
        (b": b\n\nid: 2\ndata: x\n\n", b"id: 2\ndata: x\n\n"),
        (b": d\n\n: b\n\n", b": d\n\n: b\n\n"),
        (b": b\n\n: c\n\n: b\n\n", b": b\n\n"),
        (b"id: 2\n: b\ndata: x\n\n", b"id: 2\n: b\ndata: x\n\n"),
    ],
    ids=["all", "some", "others", "one more", "in an event"],
)
def test_comments_come_once_in_a_resumed_stream(line_end, again, passed):
    """Guards against a comment that two endpoints send."""
    buffer = events.EventBuffer()
    buffer.feed(b": a\n\nid: 1\ndata: a\n\n: b\n\n")
    buffer.feed(b": c\n\n: brok")
    buffer.prepare_resume()
    parts = re.findall(rb"[^\n]*\n", again)
    sent = [buffer.feed(part.replace(b"\n", line_end)) for part in parts]
    assert b"".join(sent) == passed.replace(b"\n", line_end)


def test_event_whose_lines_end_with_crlf_is_passed_on_at_once():
    """Guards against events that are held back until the stream ends."""
    buffer = events.EventBuffer()
    event = b"id: 1\r\ndata: a\r\n\r\n"
    assert buffer.feed(event + b"id: 2\r\nda") == event
    assert buffer.last_id == 1


@pytest.mark.parametrize(
    ("tail", "expected"),
    [
        (b"data: a\n\n", True),
        (b"data: a\r\n\r\n", True),
        (b"data: a\r\n", False),
        (b"data: a\n", False),
        (b"\n", False),
        (b"", False),
    ],
)
def test_end_of_an_event_is_an_empty_line(tail, expected):
    """Guards against a stream without a length that is cut though complete."""
    assert events.ends_event(tail) is expected
