"""Full engines and waiting requests in the state dump."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzetrack.entry.admission import state as states


def describe_admission(
    state: states.AdmissionState, now: float
) -> dict[str, Any]:
    """Return which engines are full for this VM, and what waits for them."""
    return {
        "waiting": sum(item.is_blocked for item in state.waiters.values()),
        "full": {
            identity: {
                "rejections": full.rejections,
                "rejected_s_ago": round(now - full.rejected_at, 3),
                "waiting": state.count_waiters(identity),
                "tokens": state.get_held(identity).tokens,
            }
            for identity, full in state.full.items()
        },
    }
