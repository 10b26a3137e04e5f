"""Wakes requests that wait for a model or an adapter at any engine."""

from __future__ import annotations

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import endpoints

# Requests that need no model wait under this.
NO_NEED: endpoints.Need = ("", "")


class Arrival(blackboard.Source):
    """Changes of where one model or adapter is held."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0
        self.waiting = 0

    def change(self) -> None:
        """Wake all that wait."""
        self.count += 1
        self._notify()

    def is_newer(self, count: int) -> blackboard.Condition:
        """Return the condition that there was a change since."""
        return blackboard.Condition(self, lambda: self.count > count)


@attrs.define(eq=False)
class Arrivals:
    """Arrivals that requests wait for, by model and adapter."""

    by_need: dict[endpoints.Need, Arrival] = attrs.field(factory=dict)

    def join(self, need: endpoints.Need) -> Arrival:
        """Wait for a need; to be left again."""
        arrival = self.by_need.get(need)
        if arrival is None:
            arrival = self.by_need[need] = Arrival()
        arrival.waiting += 1
        return arrival

    def leave(self, need: endpoints.Need) -> None:
        """Wait no longer."""
        arrival = self.by_need[need]
        arrival.waiting -= 1
        if not arrival.waiting:
            del self.by_need[need]

    def change(self, need: endpoints.Need) -> None:
        """Wake those that wait for a need."""
        arrival = self.by_need.get(need)
        if arrival is not None:
            arrival.change()
