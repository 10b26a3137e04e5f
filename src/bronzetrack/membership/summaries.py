"""Heartbeats and endpoint summaries that this VM sends to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.dispatch import state as dispatch_state
from bronzetrack.membership import messages
from bronzetrack.ownership import leases

if TYPE_CHECKING:
    from bronzetrack import board as boards


def make_heartbeat(
    board: boards.Blackboard, number: int, now_ms: int
) -> messages.Heartbeat:
    """Return a heartbeat with the current state of this VM."""
    return messages.Heartbeat(
        vm=board.vm,
        incarnation=board.incarnation,
        status=board.lifecycle.value.status,
        configuration_offset=board.configuration.value.configuration.offset,
        endpoints=summarize_owned(board),
        usage=dict(board.dispatch.value.usage),
        number=number,
        may_claim=leases.may_claim(board.ownership.value, now_ms),
        listed_leaving=tuple(sorted(board.membership.value.own_listed)),
    )


def summarize_owned(
    board: boards.Blackboard,
) -> dict[str, messages.EndpointSummary]:
    """Return the summaries of the endpoints that this VM owns."""
    queues = board.dispatch.value.endpoints
    endpoints = board.configuration.value.configuration.inventory.endpoints
    ownership = board.ownership.value
    return {
        name: summarize_endpoint(
            queues.get(name, dispatch_state.EndpointQueue()),
            endpoints[name].slots,
            name in ownership.draining
            or ownership.standing is not leases.Standing.SOLE,
        )
        for name in leases.list_owned(ownership, board.incarnation)
        if name in endpoints
    }


def summarize_endpoint(
    queue: dispatch_state.EndpointQueue, slots: int, draining: bool
) -> messages.EndpointSummary:
    """Return the summary of one owned endpoint.

    :param slots: number of requests that the endpoint runs at once
    :param draining: whether the endpoint gets no new work, either because it
        is handed over or because another VM may own it
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
        reachable=queue.reachable,
    )
