"""Messages that wait to be sent to all VMs."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry import notifiers
from bronzetrack.entry.peering import placementdigests

# Largest number of other messages that wait. More than that are told again by
# their senders, or read from the store.
MAX_URGENT = 4_096


@attrs.define(eq=False)
class NewsQueue:
    """Queue that keeps what VMs need most where a link is too narrow.

    Load pattern: the lease holder places hundreds of adapters a second, which
    hundreds of VMs want to know, while an endpoint says that it leaves. A
    placement that is not told costs its callers one rejection.

    :param urgent: messages that are all sent, in order
    :param placements: latest change by engine, model and adapter, in order
    """

    urgent: list[Any] = attrs.field(factory=list)
    placements: dict[tuple[str, str, str], messages.HoldingChange] = (
        attrs.field(factory=dict)
    )
    notifier: notifiers.Notifier = attrs.field(factory=notifiers.Notifier)

    def add(self, message: Any) -> None:
        """Add a message; a placement replaces an earlier one of the same."""
        if isinstance(message, messages.HoldingChange):
            key = (message.identity, message.model, message.adapter)
            self.placements.pop(key, None)
            self.placements[key] = message
        elif len(self.urgent) < MAX_URGENT:
            self.urgent.append(message)
        else:
            meters.NEWS_DROPPED.inc()
        self.notifier.change()

    def is_empty(self) -> bool:
        """Return whether no message waits."""
        return not self.urgent and not self.placements

    def take(self, max_bytes: float) -> list[Any]:
        """Remove and return the messages for one round.

        The oldest placements are dropped where not all fit.

        :param max_bytes: size of the round for one VM, in bytes
        """
        chosen: list[Any] = []
        left = max_bytes - sum(map(_measure, self.urgent))
        for change in reversed(self.placements.values()):
            left -= placementdigests.measure(change)
            if left < 0:
                break
            chosen.append(change)
        meters.NEWS_DROPPED.inc(len(self.placements) - len(chosen))
        taken = [*self.urgent, *placementdigests.encode(reversed(chosen))]
        self.urgent = []
        self.placements = {}
        return taken


def _measure(message: Any) -> int:
    """Return the bytes that a message takes in a bundle."""
    return len(messages.encode(message)) + messages.ITEM_BYTES
