"""Recording of the eras that the answers of the store state."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import store as store_events
from bronzetrack.entry.eras import meters
from bronzetrack.entry.eras import state

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)


def record_era(board: boards.Blackboard, era: int, is_restore: bool) -> None:
    """Publish an era on the blackboard, and tell of a restore.

    :param era: one that is higher than those before, or the first
    :param is_restore: whether it is not the first
    """
    section = board.store_era
    previous = section.value
    restores = previous.restores + is_restore
    section.write(section.writer, state.StoreEra(era, restores))
    meters.ERA.set(era)
    if is_restore:
        meters.RESTORES.inc()
        event = store_events.StoreRestored(era, previous.number)
        logevents.log(LOG, event)
