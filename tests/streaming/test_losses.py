"""Tests of the detection of lost answers at the entry VM."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.core import failures
from bronzetrack.streaming import losses
from bronzetrack.streaming import progress as progresses


@pytest.fixture
def running() -> progresses.Progress:
    """A request whose attempt runs at vm-2."""
    progress = progresses.Progress(
        None, owner="vm-2", owner_incarnation="i2", endpoint="engine-0"
    )
    progress.start_attempt("a1", 0)
    return progress


def find_loss(progress, sessions=("vm-2",), incarnation="i2", now_ms=0):
    return losses.find_loss(
        progress, "vm-1", sessions, {"vm-2": incarnation}, now_ms
    )


def test_gap_is_a_loss_only_after_a_wait(running):
    """Guards against a resume for each chunk that a later one overtook."""
    running.gap_ms = 100
    assert find_loss(running, now_ms=99 + losses.GAP_WAIT_MS) is None
    found = find_loss(running, now_ms=100 + losses.GAP_WAIT_MS)
    assert found.reason is failures.Reason.ANSWER_INCOMPLETE


def test_lost_owner_means_a_lost_answer(running):
    """Guards against a request that waits for a VM that is down.

    The owner has no session any more, or runs as another incarnation.
    """
    assert find_loss(running) is None
    for found in (
        find_loss(running, ()),
        find_loss(running, incarnation="i3"),
    ):
        assert found.reason is failures.Reason.PEER_UNREACHABLE
    running.owner = "vm-1"
    assert find_loss(running, ()) is None


def test_silent_attempts_are_probed(running):
    """Guards against a request that waits for an end that was lost."""
    own = attrs.evolve(running, owner="vm-1")
    settling = attrs.evolve(running, stage=progresses.Stage.SETTLING)
    found = [running, own, settling]
    at_ms = losses.PROBE_INTERVAL_MS
    assert losses.group_silent_requests(found, "vm-1", at_ms - 1) == {}
    silent = losses.group_silent_requests(found, "vm-1", at_ms)
    assert silent == {"vm-2": [running], "vm-1": [own]}
    # An attempt at the entry VM itself that resumes a stream is in no queue.
    own.resume_attempt("a2", 0)
    assert "vm-1" not in losses.group_silent_requests([own], "vm-1", at_ms)
