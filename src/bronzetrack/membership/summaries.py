"""What this VM tells its peers of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.dispatch import state as dispatch_state
from bronzetrack.membership import messages
from bronzetrack.ownership import leases

if TYPE_CHECKING:
    from bronzetrack import board as boards


def make_heartbeat(board: boards.Blackboard) -> messages.Heartbeat:
    """Return the heartbeat of the present state."""
    dispatch = board.dispatch.value
    inventory = board.configuration.value.configuration.inventory
    ownership = board.ownership.value
    owned = leases.list_owned(ownership, board.incarnation)
    return messages.Heartbeat(
        vm=board.vm,
        incarnation=board.incarnation,
        status=board.lifecycle.value.status,
        configuration_offset=board.configuration.value.configuration.offset,
        endpoints={
            name: summarize_endpoint(
                dispatch.endpoints.get(name, dispatch_state.EndpointQueue()),
                inventory.endpoints[name].slots,
                name in ownership.draining,
            )
            for name in owned
            if name in inventory.endpoints
        },
        usage=dict(dispatch.usage),
    )


def summarize_endpoint(
    queue: dispatch_state.EndpointQueue, slots: int, draining: bool
) -> messages.EndpointSummary:
    """Return the summary of one owned endpoint.

    :param draining: whether its queue is finished before a handover
    """
    return messages.EndpointSummary(
        free_slots=max(0, slots - len(queue.running)),
        queued=len(queue.waiting),
        warm=tuple(
            adapter
            for adapter, resident in queue.residents.items()
            if resident.phase is dispatch_state.ResidentPhase.READY
        ),
        slow=queue.pace.slow,
        chunk_ms=queue.pace.chunk_ms,
        leaving=queue.leaving or draining,
    )
