"""When requests that wait for full engines are refused."""

from __future__ import annotations

import random

from bronzetrack.entry.forwarding import failures

# Bounds of Retry-After.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.5
# Callers come back within this share of the time for which they still wait.
MAX_LEFT_SHARE = 0.5
DEFAULT_GENERATOR = random.Random()


def choose_retry_after(
    ahead_s: float,
    left_s: float,
    generator: random.Random = DEFAULT_GENERATOR,
) -> float:
    """Return when a refused caller should come back, in seconds.

    Load pattern: hundreds of callers are refused within a second. If all came
    back at the same time, they would be refused again. They come back in the
    time after the engine has completed the work ahead, over the same length,
    but while they still wait for an answer.

    :param ahead_s: time that the engine needs for the work ahead
    :param left_s: time for which the caller still waits
    """
    longest_s = min(MAX_RETRY_AFTER_S, MAX_LEFT_SHARE * left_s)
    first_s = min(longest_s / 2, max(MIN_RETRY_AFTER_S, ahead_s))
    return max(MIN_RETRY_AFTER_S, generator.uniform(first_s, 2 * first_s))


def make_failure(
    reason: failures.Reason,
    detail: str,
    possible_runs: int,
    ahead_s: float,
    left_s: float,
) -> failures.Failure:
    """Return the failure of a request for which all engines are full.

    A refusal states that the request has not run.

    :param reason: reason of a request that has not run
    :param possible_runs: number of sends after which an engine may have run
        the request
    :param ahead_s: time that the engine needs for the work ahead
    :param left_s: time for which the caller still waits
    """
    if possible_runs:
        return failures.Failure(failures.Reason.LOST, detail)
    return failures.Failure(
        reason, detail, choose_retry_after(ahead_s, left_s)
    )


def is_over(waited_s: float, limit_s: float) -> bool:
    """Return whether a request must not wait any longer.

    Load pattern: an adapter gets more requests than all engines that hold it
    can run. Late answers are worth something to callers. Those that are
    refused can still ask another VM.

    :param limit_s: longest time that a request may wait
    """
    return waited_s > limit_s
