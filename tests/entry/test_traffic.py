"""How this VM fares at an endpoint."""

from __future__ import annotations

import pytest

from bronzetrack.entry import traffic


@pytest.fixture
def at_endpoint() -> traffic.Traffic:
    """Traffic without any failure."""
    return traffic.Traffic()


def test_first_failure_and_one_after_a_calm_time_are_new(at_endpoint, now):
    """Guards against a log line for each of many failures, or for none."""
    assert at_endpoint.note_failure(now)
    assert not at_endpoint.note_failure(now + 1)
    assert not at_endpoint.note_unreachable(now + 2)
    assert at_endpoint.note_failure(now + 2 + 5 * traffic.FAILURE_FADE_S)


def test_answers_make_failures_forgotten_earlier(at_endpoint, now):
    """Guards against an endpoint that is avoided after it has recovered."""
    at_endpoint.note_failure(now)
    for _ in range(4):
        at_endpoint.note_answer(now)
    assert at_endpoint.measure_failures(now) < traffic.FORGOTTEN_FAILURES


def test_unreachable_endpoint_rests(at_endpoint, now):
    """Guards against a connect for each request to a dead address."""
    at_endpoint.note_unreachable(now)
    assert at_endpoint.unreachable_until == now + traffic.UNREACHABLE_S
