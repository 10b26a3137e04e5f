"""Tests of the detection of slow endpoints."""

from __future__ import annotations

from bronzetrack.dispatch import pace as paces

PEERS = (20.0, 22.0, 24.0)
SLOTS = 16


def _feed(pace, chunk_ms, start_ms, count):
    for index in range(count):
        now_ms = start_ms + index * paces.PART_MS
        pace = paces.observe(pace, chunk_ms, now_ms)
        pace = paces.judge(pace, PEERS, start_ms, SLOTS, now_ms)
    return pace, start_ms + count * paces.PART_MS


def test_slow_endpoint_is_found_within_a_second():
    """Guards against stragglers that only late reports show."""
    pace, now_ms = _feed(paces.Pace(), 20.0, 0, 4)
    assert not pace.slow
    pace, _ = _feed(pace, 100.0, now_ms, 3)
    assert pace.slow


def test_full_batch_is_not_slow():
    """Guards against taking a busy endpoint for a faulty one."""
    pace, _ = _feed(paces.Pace(), 44.0, 0, 8)
    assert not pace.slow


def test_all_slow_means_none_slow():
    """Guards against refusing everywhere when all endpoints slow down."""
    pace = paces.observe(paces.Pace(), 100.0, 1_000)
    assert not paces.judge(pace, (99.0, 120.0), None, SLOTS, 1_000).slow


def test_frozen_endpoint_is_slow():
    """Guards against an endpoint that sends no chunk at all."""
    pace, now_ms = _feed(paces.Pace(), 20.0, 0, 4)
    later_ms = now_ms + paces.SILENCE_MS + 1
    assert paces.judge(pace, PEERS, 0, SLOTS, later_ms).slow
    assert not paces.judge(pace, PEERS, None, SLOTS, later_ms).slow


def test_return_is_gradual_and_failed_trials_wait_longer():
    """Guards against a flood to an endpoint that is still slow."""
    pace, now_ms = _feed(paces.Pace(), 100.0, 0, 4)
    now_ms += pace.pause_ms
    trial = paces.judge(pace, PEERS, None, SLOTS, now_ms)
    assert not trial.slow
    assert trial.trial_slots == paces.TRIAL_SLOTS
    failed, _ = _feed(trial, 100.0, now_ms, 1)
    assert failed.slow
    assert failed.pause_ms == 2 * pace.pause_ms
    passed, _ = _feed(trial, 20.0, now_ms, 1)
    assert passed.trial_slots == 2 * paces.TRIAL_SLOTS
    passed, _ = _feed(trial, 20.0, now_ms, 4)
    assert passed.trial_slots is None


def test_timer_leaves_out_the_first_chunk():
    """Guards against long prompts that count as slow chunks."""
    timer = paces.ChunkTimer()
    assert timer.note_chunk(5_000) is None
    means = [timer.note_chunk(5_000 + 20 * index) for index in range(1, 20)]
    assert [mean for mean in means if mean is not None] == [20.0]
