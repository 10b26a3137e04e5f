"""Age of this VM's knowledge of the endpoints."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards


class ViewSource(enum.Enum):
    """Whose read of the store the knowledge rests on."""

    OWN = "own"
    HUB = "hub"


@attrs.frozen
class View:
    """Knowledge of the endpoints at one time.

    :param age_s: time since the store was read for it, in seconds
    """

    age_s: float
    source: ViewSource


def measure_view(board: boards.Blackboard, now: float) -> View:
    """Return the most recent view of the entries of endpoints.

    The view of a hub counts once this VM has read all changes that the hub
    has told it of.
    """
    membership = board.membership.value
    own = View(now - board.store_read_at.value, ViewSource.OWN)
    table = board.endpoints.value
    is_behind = membership.endpoint_offset > table.read_offset
    if is_behind or now >= membership.endpoint_news_until:
        return own
    hub = View(now - membership.endpoint_view_at, ViewSource.HUB)
    return min(own, hub, key=lambda view: view.age_s)
