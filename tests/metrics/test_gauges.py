"""Tests of the metrics."""

from __future__ import annotations

import re

import attrs

from bronzetrack.core import clock
from bronzetrack.core import failures
from bronzetrack.metrics import counters
from bronzetrack.metrics import gauges
from bronzetrack.streaming import outcomes


def read_clock() -> clock.Instant:
    return clock.Instant(monotonic_ms=5_000, wall_ms=1_790_000_000_000)


def test_each_gauge_is_written_with_help(board):
    """Guards against a gauge that fails or has no help text."""
    text = gauges.write_metrics(board, read_clock).decode()
    for name in gauges.GAUGES:
        assert re.search(rf"^# HELP {name} \S", text, re.MULTILINE)
    assert 'bronzetrack_status{status="starting"} 1.0' in text


def test_lease_left_is_in_seconds(board):
    """Guards against an alert that compares milliseconds with seconds."""
    state = attrs.evolve(board.ownership.value, held_until_ms=12_500)
    board.ownership.write("ownership", state)
    text = gauges.write_metrics(board, read_clock).decode()
    assert "bronzetrack_lease_left_seconds 7.5" in text


def test_refusals_are_counted_by_reason(board):
    """Guards against refusals whose reason is missing from the metrics."""
    failure = failures.Failure(failures.Reason.WARM_QUOTA)
    counters.count_request(outcomes.Outcome.REFUSED, failure)
    counters.count_request(outcomes.Outcome.COMPLETED, None)
    text = gauges.write_metrics(board, read_clock).decode()
    assert 'requests_total{outcome="refused",reason="warm_quota"} 1' in text
    assert 'requests_total{outcome="completed",reason="none"}' in text
