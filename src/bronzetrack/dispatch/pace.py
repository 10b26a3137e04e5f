"""Detection of endpoints that answer slower than the others of their model.

The status reports of engines show a slow endpoint late. The time between the
chunks of its running streams shows it within half a second.
"""

from __future__ import annotations

from collections.abc import Sequence
import statistics

import attrs

# A full batch takes about twice as long per token as a single request, so
# twice the median of the other endpoints does not indicate a fault.
SLOW_FACTOR = 2.5
NORMAL_FACTOR = 1.8
SMOOTHING_FACTOR = 0.6
OBSERVATION_TTL_MS = 1_000
# Minimum length of one measurement of the time between chunks.
PACE_REPORT_INTERVAL_MS = 250
# An engine may process a long prompt for this time without sending a chunk.
MAX_SILENCE_MS = 1_500
MIN_OTHER_ENDPOINTS = 2
TRIAL_SLOTS = 2
TRIAL_PAUSE_MS = 2_000
MAX_PAUSE_MS = 16_000


@attrs.frozen
class Pace:
    """Holds the speed of an endpoint as its owner observed it.

    :param chunk_ms: smoothed time between the chunks of a stream, 0 if
        unknown
    :param observed_ms: monotonic time of the latest observation
    :param slow: whether the endpoint is slower than the others of its model
    :param slow_since_ms: monotonic time at which the endpoint became slow
    :param pause_ms: time without observations after which a slow endpoint is
        tried again; doubles with each failed trial
    :param trial_slots: slots that may be used during a trial, None outside of
        a trial
    """

    chunk_ms: float = 0.0
    observed_ms: int = 0
    slow: bool = False
    slow_since_ms: int = 0
    pause_ms: int = TRIAL_PAUSE_MS
    trial_slots: int | None = None


def observe(pace: Pace, chunk_ms: float, now_ms: int) -> Pace:
    """Return the pace updated with an observation of one stream."""
    if pace.chunk_ms:
        chunk_ms = (
            SMOOTHING_FACTOR * chunk_ms
            + (1 - SMOOTHING_FACTOR) * pace.chunk_ms
        )
    return attrs.evolve(pace, chunk_ms=chunk_ms, observed_ms=now_ms)


def classify(
    pace: Pace,
    other_chunk_ms: Sequence[float],
    streaming_since_ms: int | None,
    slots: int,
    now_ms: int,
) -> Pace:
    """Return the pace with the endpoint classified as slow or normal.

    An endpoint is slow if the time between its chunks exceeds a multiple of
    the median of the other endpoints, or if it has running streams but sends
    no chunk for MAX_SILENCE_MS. With fewer than MIN_OTHER_ENDPOINTS known
    values, it counts as normal.

    :param other_chunk_ms: time between chunks at the other endpoints, 0 if
        unknown
    :param streaming_since_ms: monotonic start time of the oldest running
        stream, None without one
    :param slots: number of slots of the endpoint
    """
    known = [value for value in other_chunk_ms if value > 0]
    if len(known) < MIN_OTHER_ENDPOINTS:
        return attrs.evolve(pace, slow=False, trial_slots=None)
    median_ms = statistics.median(known)
    observation_age_ms = now_ms - pace.observed_ms
    fresh = pace.chunk_ms > 0 and observation_age_ms < OBSERVATION_TTL_MS
    silent = streaming_since_ms is not None and MAX_SILENCE_MS < (
        now_ms - max(pace.observed_ms, streaming_since_ms)
    )
    if silent or (fresh and pace.chunk_ms > SLOW_FACTOR * median_ms):
        return _mark_slow(pace, now_ms)
    if fresh and pace.chunk_ms <= NORMAL_FACTOR * median_ms:
        return _mark_normal(pace, slots)
    if pace.slow and observation_age_ms >= pace.pause_ms:
        return attrs.evolve(
            pace, slow=False, chunk_ms=0.0, trial_slots=TRIAL_SLOTS
        )
    return pace


def _mark_slow(pace: Pace, now_ms: int) -> Pace:
    if pace.slow:
        return pace
    failed_trial = pace.trial_slots is not None
    pause_ms = pace.pause_ms * 2 if failed_trial else TRIAL_PAUSE_MS
    return attrs.evolve(
        pace,
        slow=True,
        slow_since_ms=now_ms,
        pause_ms=min(pause_ms, MAX_PAUSE_MS),
        trial_slots=None,
    )


def _mark_normal(pace: Pace, slots: int) -> Pace:
    """Return the pace after a normal observation.

    A slow endpoint begins a trial. Each further normal observation doubles
    the trial slots until they reach the slots of the endpoint.
    """
    if pace.slow:
        return attrs.evolve(pace, slow=False, trial_slots=TRIAL_SLOTS)
    if pace.trial_slots is None:
        return pace
    trial = pace.trial_slots * 2
    return attrs.evolve(pace, trial_slots=trial if trial < slots else None)


@attrs.define
class ChunkTimer:
    """Measures the time between the chunks of one stream.

    The measurement starts with the first chunk, since the time before it
    includes the processing of the prompt.

    :param started_ms: monotonic time of the chunk that started the current
        interval, None before the first chunk
    :param chunks: chunks since then
    """

    started_ms: int | None = None
    chunks: int = 0

    def record_chunk(self, now_ms: int) -> float | None:
        """Record a chunk.

        :returns: mean time between chunks in milliseconds when an interval is
            complete, else None
        """
        if self.started_ms is None:
            self.started_ms = now_ms
            return None
        self.chunks += 1
        passed_ms = now_ms - self.started_ms
        if passed_ms < PACE_REPORT_INTERVAL_MS:
            return None
        mean_ms = passed_ms / self.chunks
        self.started_ms, self.chunks = now_ms, 0
        return mean_ms
