"""Writing again of what a restore of the store may have lost."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import store as store_events
from bronzetrack.entry.eras import meters

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)
# Time over which the VMs spread their writes after a restore of the store.
REWRITE_SPREAD_S = 2.0


async def await_restore(board: boards.Blackboard, restores: int) -> None:
    """Wait until the store has been restored more often than that."""
    await blackboard.wait_any(
        board.store_era.satisfies(lambda era: era.restores > restores)
    )


def record_rewrite(board: boards.Blackboard, topic: str, count: int) -> None:
    """Count and log records that are written again."""
    meters.REWRITTEN.labels(topic).inc(count)
    event = store_events.LostRecordsRewritten(
        topic, board.store_era.value.number, count
    )
    logevents.log(LOG, event)
