"""Time until the next planning step of an owner without an event."""

from __future__ import annotations

from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import state as states
from bronzetrack.limits import transfers

STEP_INTERVAL_MS = 250
# Without work, only the placement of adapters has to be recomputed
# periodically.
IDLE_INTERVAL_MS = 1_000


def get_step_timeout(
    state: states.DispatchState, permits: transfers.Permits, now_ms: int
) -> int:
    """Return the maximum time until the next step in milliseconds.

    :param permits: weight-store tokens of this VM; a load may be waiting for
        tokens when there is none to spare
    """
    idle = (
        not state.usage
        and permits.may_prefetch()
        and not any(
            has_pending_timer(queue, now_ms)
            for queue in state.endpoints.values()
        )
    )
    return IDLE_INTERVAL_MS if idle else STEP_INTERVAL_MS


def has_pending_timer(queue: states.EndpointQueue, now_ms: int) -> bool:
    """Return whether an action may become due without a further event.

    Work and orders have time-outs, failed loads and fences are retried, and
    the classification of an endpoint as slow or normal expires.
    """
    return (
        not queue.is_releasable
        or _has_due_retry(queue, now_ms)
        or queue.pace.slow
        or queue.pace.trial_slots is not None
        or now_ms - queue.pace.observed_ms < paces.OBSERVATION_TTL_MS
    )


def _has_due_retry(queue: states.EndpointQueue, now_ms: int) -> bool:
    """Return whether a load or fence retry is due before the next step."""
    fence = () if queue.fenced else (queue.fence_retry_ms,)
    return any(
        now_ms < retry_ms + STEP_INTERVAL_MS
        for retry_ms in (*fence, *queue.load_retry_ms.values())
    )
