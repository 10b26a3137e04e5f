"""Tests of the limits on the unread output of a slow caller."""

from __future__ import annotations

import anyio
import pytest

from bronzetrack.streaming import outcomes
from bronzetrack.streaming import output as outputs

ENDED = outputs.Ended(outcomes.Outcome.UNKNOWN)


@pytest.fixture
def output() -> outputs.Output:
    return outputs.Output("r1")


def test_unread_bytes_are_bounded(output):
    """Guards against memory that grows with a caller that does not read."""
    data = b"x" * (outputs.MAX_UNREAD_BYTES // 4)
    assert [output.post_chunk(data) for _ in range(5)] == [True] * 4 + [False]
    assert output.post(ENDED)
    assert anyio.run(output.take) == [outputs.Chunk(data)] * 4 + [ENDED]
    assert output.post_chunk(data)


def test_full_output_has_room_for_the_end(monkeypatch):
    """Guards against a caller that never gets the end of its answer."""
    monkeypatch.setattr(outputs, "OUTPUT_EVENTS", 6)
    output = outputs.Output("r1")
    assert output.post(outputs.Started("engine-0", "vm-1", 200, ""))
    while output.post_chunk(b"x"):
        pass
    assert output.post(ENDED)
    events = anyio.run(output.take)
    assert events[-1] is ENDED and len(events) == 5
