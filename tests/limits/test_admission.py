"""Tests of admission control."""

from __future__ import annotations

import pytest

from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import state as states
from bronzetrack.limits import admission
from bronzetrack.streaming import messages

RULES = rule_sets.Rules(
    classes={
        "duty": rule_sets.ClassRule(0, 1.0, 1_000),
        "review": rule_sets.ClassRule(1, 0.5, 1_000),
    }
)


@pytest.fixture
def check_admission():
    def make(waiting: int, work_class: str, limit: int = 256):
        work = messages.SubmitWork(
            "x", "x", "e", "m", "", work_class, "POST", "/", b"", 60_000, 50
        )
        queue = states.EndpointQueue(
            waiting=(states.Waiting(work, "vm", 0),) * waiting,
            pace=paces.Pace(chunk_ms=20.0),
        )
        return admission.check_admission(
            admission.Admission(work, queue, RULES, 4, limit)
        )

    return make


def test_refusal_gives_limit_and_retry_time(check_admission):
    """Guards against time-outs in a queue that is known to be too long."""
    assert check_admission(4, "duty") is None
    failure = check_admission(8, "duty")
    assert failure.reason is failures.Reason.QUEUE_FULL
    assert failure.limit == "classes.duty.queue_timeout_ms"
    # 8 requests of 50 tokens at 20 ms on 4 slots take 2 s, 1 s too long.
    assert failure.retry_after_ms == 1_000


def test_estimate_counts_the_slots_of_the_class(check_admission):
    """Guards against an estimate that counts slots closed to the class."""
    assert check_admission(4, "duty") is None
    assert check_admission(4, "review").retry_after_ms == 1_000


def test_queue_length_is_bounded(check_admission):
    """Guards against a queue that grows without limit."""
    assert check_admission(2, "duty", limit=2).limit == "limits.queue_requests"
