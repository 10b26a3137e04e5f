"""Tests of the replay of recorded traces."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.core import failures
from bronzetrack.traces import model
from bronzetrack.traces import replay


def test_trace_has_expected_outcomes(trace_text):
    """Guards against a changed decision in a recorded incident."""
    trace = replay.read_trace(trace_text)
    assert trace.outcomes
    assert replay.replay_trace(trace) == ()


def test_replay_reports_different_outcome(trace_text):
    """Guards against a comparison that passes with any expected outcome."""
    trace = replay.read_trace(trace_text)
    name = next(iter(trace.outcomes))
    wrong = attrs.evolve(trace, outcomes={name: "something else"})
    assert [item.name for item in replay.replay_trace(wrong)] == [name]


def test_written_trace_reads_back(trace_text):
    """Guards against a recording that the replay cannot read."""
    trace = replay.read_trace(trace_text)
    assert replay.read_trace(replay.write_trace(trace)) == trace


@pytest.mark.parametrize("text", ["", "[]", '{"stream": 1}', "{" * 5_000])
def test_invalid_trace_is_a_failure(text):
    """Guards against a traceback for a corrupt trace file."""
    found = replay.read_trace(text)
    assert isinstance(found, failures.Failure)
    assert found.reason is failures.Reason.TRACE_INVALID


@pytest.mark.parametrize(
    "stream, name, fields",
    [
        ("dispatch", "arrived", {}),
        ("dispatch", "arrival", {"attempt": 1}),
        ("dispatch", "arrival", {"attempt": "a", "adapters": "a@1"}),
        ("dispatch", "run_ended", {"attempt": "a", "reason": "crash"}),
        ("keys", "key_void", {"key": "k"}),
    ],
)
def test_invalid_event_is_a_failure(stream, name, fields):
    """Guards against a traceback for an event with a wrong name or field."""
    trace = model.Trace(stream, (model.TraceEvent(0, (name, fields)),))
    found = replay.replay_trace(trace)
    assert isinstance(found, failures.Failure)
    assert found.reason is failures.Reason.TRACE_INVALID


def test_dispatch_trace_needs_no_claim_first():
    """Guards against a traceback for events in an unusual order."""
    report = model.TraceEvent(0, ("report", {"boot": "b1"}))
    assert replay.replay_trace(model.Trace("dispatch", (report,))) == ()
