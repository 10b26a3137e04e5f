"""Tests that recorded traces come to their stated outcomes."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.core import failures
from bronzetrack.traces import replay


def test_trace_has_stated_outcomes(trace_text):
    """Guards against a decision that changes for a recorded incident."""
    trace = replay.read_trace(trace_text)
    assert trace.outcomes
    assert replay.replay_trace(trace) == ()


def test_trace_reports_other_outcome(trace_text):
    """Guards against a comparison that passes whatever is stated."""
    trace = replay.read_trace(trace_text)
    name = next(iter(trace.outcomes))
    wrong = attrs.evolve(trace, outcomes={name: "something else"})
    assert [item.name for item in replay.replay_trace(wrong)] == [name]


def test_written_trace_reads_back(trace_text):
    """Guards against a recording that the replay cannot read."""
    trace = replay.read_trace(trace_text)
    assert replay.read_trace(replay.write_trace(trace)) == trace


@pytest.mark.parametrize("text", ["", "[]", '{"stream": 1}', "{" * 5_000])
def test_bad_trace_is_a_failure(text):
    """Guards against a traceback for a damaged file."""
    found = replay.read_trace(text)
    assert isinstance(found, failures.Failure)
    assert found.reason is failures.Reason.TRACE_INVALID
