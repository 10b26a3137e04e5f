"""When an owner has to act again although nothing happens."""

from __future__ import annotations

from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import state as states
from bronzetrack.limits import transfers

STEP_INTERVAL_MS = 250
# Without work, only the placement of adapters is renewed with time.
REST_INTERVAL_MS = 1_000


def find_wait(
    state: states.DispatchState, permits: transfers.Permits, now_ms: int
) -> int:
    """Return the longest time until the next step in milliseconds.

    :param permits: a bucket that is not full may hold back a load
    """
    rests = (
        not state.usage
        and permits.may_prefetch()
        and not any(
            is_timed(queue, now_ms) for queue in state.endpoints.values()
        )
    )
    return REST_INTERVAL_MS if rests else STEP_INTERVAL_MS


def is_timed(queue: states.EndpointQueue, now_ms: int) -> bool:
    """Return whether time alone may make something due at an endpoint.

    Work and orders have time-outs, a load that failed or a fence is sent
    again, and a verdict on the pace lapses.
    """
    return (
        not queue.is_releasable
        or _has_retry(queue, now_ms)
        or queue.pace.slow
        or queue.pace.trial_slots is not None
        or now_ms - queue.pace.observed_ms < paces.FRESH_MS
    )


def _has_retry(queue: states.EndpointQueue, now_ms: int) -> bool:
    """Return whether a load or a fence is sent again until the next step."""
    fence = () if queue.fenced else (queue.fence_retry_ms,)
    return any(
        now_ms < retry_ms + STEP_INTERVAL_MS
        for retry_ms in (*fence, *queue.load_retry_ms.values())
    )
