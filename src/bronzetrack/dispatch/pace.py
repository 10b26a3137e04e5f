"""Detection of endpoints that answer slower than their peers.

Load reports show a slow endpoint late. The time between the chunks of the
streams that run there shows it within half a second.
"""

from __future__ import annotations

from collections.abc import Sequence
import statistics

import attrs

# A full batch takes about twice the time for a token that a single request
# takes, so that twice the median of the peers is no sign of a fault.
SLOW_FACTOR = 2.5
NORMAL_FACTOR = 1.8
NEW_WEIGHT = 0.6
FRESH_MS = 1_000
# A stream reports its speed this often.
PART_MS = 250
# An engine may work this long on a long prompt without a chunk.
SILENCE_MS = 1_500
LEAST_PEERS = 2
TRIAL_SLOTS = 2
TRIAL_PAUSE_MS = 2_000
LONGEST_PAUSE_MS = 16_000


@attrs.frozen
class Pace:
    """What the owner saw of the speed of an endpoint.

    :param chunk_ms: smoothed time between the chunks of a stream, 0 if not
        known
    :param observed_ms: monotonic time of the latest observation
    :param slow: whether the endpoint is slower than its peers
    :param slow_since_ms: monotonic time at which it became slow
    :param pause_ms: time without observations after which a slow endpoint is
        tried again; doubles with each trial that fails
    :param trial_slots: slots in use during a trial, None when it has ended
    """

    chunk_ms: float = 0.0
    observed_ms: int = 0
    slow: bool = False
    slow_since_ms: int = 0
    pause_ms: int = TRIAL_PAUSE_MS
    trial_slots: int | None = None


def observe(pace: Pace, chunk_ms: float, now_ms: int) -> Pace:
    """Return the pace after some chunks of one stream."""
    if pace.chunk_ms:
        chunk_ms = NEW_WEIGHT * chunk_ms + (1 - NEW_WEIGHT) * pace.chunk_ms
    return attrs.evolve(pace, chunk_ms=chunk_ms, observed_ms=now_ms)


def judge(
    pace: Pace,
    peers: Sequence[float],
    streaming_since_ms: int | None,
    slots: int,
    now_ms: int,
) -> Pace:
    """Return the pace with the verdict of this moment.

    :param peers: time between chunks at the other endpoints, 0 if not known
    :param streaming_since_ms: start of the oldest stream that runs there
    :param slots: slots of the endpoint
    """
    known = [value for value in peers if value > 0]
    if len(known) < LEAST_PEERS:
        return attrs.evolve(pace, slow=False, trial_slots=None)
    usual = statistics.median(known)
    quiet_ms = now_ms - pace.observed_ms
    fresh = pace.chunk_ms > 0 and quiet_ms < FRESH_MS
    silent = streaming_since_ms is not None and SILENCE_MS < (
        now_ms - max(pace.observed_ms, streaming_since_ms)
    )
    if silent or (fresh and pace.chunk_ms > SLOW_FACTOR * usual):
        return _mark_slow(pace, now_ms)
    if fresh and pace.chunk_ms <= NORMAL_FACTOR * usual:
        return _mark_normal(pace, slots)
    if pace.slow and quiet_ms >= pace.pause_ms:
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
        pause_ms=min(pause_ms, LONGEST_PAUSE_MS),
        trial_slots=None,
    )


def _mark_normal(pace: Pace, slots: int) -> Pace:
    """Return the pace after a normal observation, with more trial slots."""
    if pace.slow:
        return attrs.evolve(pace, slow=False, trial_slots=TRIAL_SLOTS)
    if pace.trial_slots is None:
        return pace
    trial = pace.trial_slots * 2
    return attrs.evolve(pace, trial_slots=trial if trial < slots else None)


@attrs.define
class ChunkTimer:
    """Measures the time between the chunks of one stream.

    The first chunk starts the measurement, since it waits for the prompt.

    :param started_ms: time of the chunk that the present part began with
    """

    started_ms: int | None = None
    chunks: int = 0

    def note_chunk(self, now_ms: int) -> float | None:
        """Return the mean time between chunks when a part is complete."""
        if self.started_ms is None:
            self.started_ms = now_ms
            return None
        self.chunks += 1
        passed_ms = now_ms - self.started_ms
        if passed_ms < PART_MS:
            return None
        mean_ms = passed_ms / self.chunks
        self.started_ms, self.chunks = now_ms, 0
        return mean_ms
