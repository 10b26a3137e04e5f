"""Tests of the detection of slow endpoints."""

from __future__ import annotations

from bronzetrack.dispatch import pace as paces

OTHER_CHUNK_MS = (20.0, 22.0, 24.0)
SLOTS = 16


def _observe_chunks(pace, chunk_ms, start_ms, count):
    for index in range(count):
        now_ms = start_ms + index * paces.PACE_REPORT_INTERVAL_MS
        pace = paces.observe(pace, chunk_ms, now_ms)
        pace = paces.classify(pace, OTHER_CHUNK_MS, start_ms, SLOTS, now_ms)
    return pace, start_ms + count * paces.PACE_REPORT_INTERVAL_MS


def test_slow_endpoint_is_found_within_a_second():
    """Guards against slow endpoints that only late status reports show."""
    pace, now_ms = _observe_chunks(paces.Pace(), 20.0, 0, 4)
    assert not pace.slow
    pace, _ = _observe_chunks(pace, 100.0, now_ms, 3)
    assert pace.slow


def test_full_batch_is_not_slow():
    """Guards against a busy endpoint that is classified as slow."""
    pace, _ = _observe_chunks(paces.Pace(), 44.0, 0, 8)
    assert not pace.slow


def test_no_endpoint_is_slow_if_all_are():
    """Guards against refusals at all endpoints when all become slow."""
    pace = paces.observe(paces.Pace(), 100.0, 1_000)
    assert not paces.classify(pace, (99.0, 120.0), None, SLOTS, 1_000).slow


def test_frozen_endpoint_is_slow():
    """Guards against an endpoint that sends no chunk and counts as normal."""
    pace, now_ms = _observe_chunks(paces.Pace(), 20.0, 0, 4)
    later_ms = now_ms + paces.MAX_SILENCE_MS + 1
    assert paces.classify(pace, OTHER_CHUNK_MS, 0, SLOTS, later_ms).slow
    assert not paces.classify(pace, OTHER_CHUNK_MS, None, SLOTS, later_ms).slow


def test_trial_slots_grow_and_failed_trials_double_the_pause():
    """Guards against full load on an endpoint that is still slow."""
    pace, now_ms = _observe_chunks(paces.Pace(), 100.0, 0, 4)
    now_ms += pace.pause_ms
    trial = paces.classify(pace, OTHER_CHUNK_MS, None, SLOTS, now_ms)
    assert not trial.slow
    assert trial.trial_slots == paces.TRIAL_SLOTS
    failed, _ = _observe_chunks(trial, 100.0, now_ms, 1)
    assert failed.slow
    assert failed.pause_ms == 2 * pace.pause_ms
    passed, _ = _observe_chunks(trial, 20.0, now_ms, 1)
    assert passed.trial_slots == 2 * paces.TRIAL_SLOTS
    passed, _ = _observe_chunks(trial, 20.0, now_ms, 4)
    assert passed.trial_slots is None


def test_timer_excludes_the_first_chunk():
    """Guards against prompt processing time that counts as a slow chunk."""
    timer = paces.ChunkTimer()
    assert timer.record_chunk(5_000) is None
    means = [timer.record_chunk(5_000 + 20 * index) for index in range(1, 20)]
    assert [mean for mean in means if mean is not None] == [20.0]
