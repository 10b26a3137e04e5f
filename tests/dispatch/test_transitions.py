"""Tests of the changes of a queue by orders and load reports."""

from __future__ import annotations

import pytest

from bronzetrack.core import failures
from bronzetrack.dispatch import events
from bronzetrack.dispatch import state as states
from bronzetrack.dispatch import transitions
from bronzetrack.endpoints import reports

LATE_MS = transitions.TAKEOVER_MS + 1


@pytest.fixture
def taken_over() -> states.EndpointQueue:
    """Return a queue whose residents a former owner loaded."""
    report = reports.LoadReport("b1", 0, {"a@1": 1}, ("a@1", "b@1"))
    return transitions.apply_report(states.EndpointQueue(), report, 0, 0)


def list_inherited(queue: states.EndpointQueue) -> list[str]:
    return [name for name, item in queue.residents.items() if item.inherited]


def test_early_report_keeps_inherited_marks(taken_over):
    """Guards against an eviction due to a report made before the claim."""
    idle = reports.LoadReport("b1", 10**15, {}, ("a@1", "b@1"))
    owned_ms = reports.REPORT_LAG_MS + transitions.SUCCESSOR_NOTICE_MS
    queue = transitions.apply_report(taken_over, idle, owned_ms, 1)
    assert list_inherited(queue) == ["a@1", "b@1"]


def test_late_report_clears_marks_of_idle_adapters(taken_over):
    """Guards against idle adapters that can never be evicted."""
    report = reports.LoadReport("b1", 0, {"a@1": 1}, ("a@1", "b@1"))
    queue = transitions.apply_report(taken_over, report, LATE_MS, LATE_MS)
    assert list_inherited(queue) == ["a@1"]


def test_report_adds_adapter_whose_load_answer_was_lost():
    """Guards against an occupied adapter slot that is counted as free."""
    lost = failures.Failure(failures.Reason.ENDPOINT_UNREACHABLE)
    queue = states.EndpointQueue(boot="b1")
    queue = transitions.end_load(queue, events.LoadEnded("e", "a@1", lost), 0)
    report = reports.LoadReport("b1", 0, {}, ("a@1",))
    early = transitions.apply_report(queue, report, LATE_MS, 100)
    assert "a@1" not in early.residents
    late = transitions.apply_report(queue, report, LATE_MS, LATE_MS)
    assert "a@1" in late.residents


def test_report_removes_adapter_that_is_not_loaded(taken_over):
    """Guards against dispatch to an adapter that an order removed."""
    report = reports.LoadReport("b1", 0, {}, ("a@1",))
    queue = transitions.apply_report(taken_over, report, LATE_MS, LATE_MS)
    assert list(queue.residents) == ["a@1"]


def test_engine_restart_requires_a_new_fence(taken_over):
    """Guards against reliance on a fencing token that a restart erased."""
    queue = transitions.end_fence(taken_over, events.FenceEnded("e"))
    assert queue.fenced
    restarted = reports.LoadReport("b2", 0, {}, ())
    queue = transitions.apply_report(queue, restarted, LATE_MS, LATE_MS)
    assert not queue.fenced
    assert queue.residents == {}
