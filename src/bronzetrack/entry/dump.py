"""State dump of an entry VM for operators."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from bronzetrack.core import positions
from bronzetrack.entry.admission import describe as admission
from bronzetrack.entry.quotas import describe

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards


def dump_board(board: boards.Blackboard, now: float) -> dict[str, Any]:
    """Return the state of an entry VM as JSON-serializable values."""
    configuration = board.rules.value.configuration
    lease = board.lease.value
    return {
        "vm": board.settings.vm,
        "incarnation": board.incarnation,
        "ready": board.lifecycle.value.ready,
        "configuration": configuration.version if configuration else None,
        "lease": {
            "holder": lease.holder,
            "era": positions.get_era(lease.end),
            "end": positions.get_offset(lease.end),
            "token": lease.token,
        },
        "endpoints": [
            {
                "id": item.identity,
                "service": item.service,
                "address": item.address,
                "leaving": item.departure is not None,
                "removed": item.removed_at is not None,
                "adapters": [
                    f"{model}/{adapter}@{version}"
                    for (model, adapter), version in item.adapters.items()
                ],
            }
            for item in board.endpoints.value.by_identity.values()
        ],
        "peers": [
            {
                "vm": peer.vm,
                "ready": peer.ready,
                "joining": peer.joining,
                "heard_at": peer.last_heartbeat_at,
            }
            for peer in board.membership.value.peer_table.peers.values()
        ],
        "joining": board.membership.value.peer_table.is_joining,
        "admission": admission.describe_admission(board.admission.value, now),
        "quotas": describe.describe_quotas(board.quotas.value, now),
    }
