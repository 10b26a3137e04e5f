"""Wake-ups for requests that wait for a model or an adapter."""

from __future__ import annotations

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import endpoints

# Key for requests that need no model.
NO_NEED: endpoints.Need = ("", "")


class HolderNotifier(blackboard.Source):
    """Source of changes to the engines that hold one model or adapter.

    :ivar count: number of changes so far
    :ivar waiting: number of requests that wait for a change
    """

    def __init__(self) -> None:
        super().__init__()
        self.count = 0
        self.waiting = 0

    def change(self) -> None:
        """Record a change and wake all waiting requests."""
        self.count += 1
        self._notify()

    def is_newer(self, count: int) -> blackboard.Condition:
        """Return a condition that holds once a further change has occurred.

        :param count: number of changes that the caller has already seen
        """
        return blackboard.Condition(self, lambda: self.count > count)


@attrs.define(eq=False)
class HolderNotifiers:
    """Change sources that requests wait on, by model and adapter."""

    by_need: dict[endpoints.Need, HolderNotifier] = attrs.field(factory=dict)

    def join(self, need: endpoints.Need) -> HolderNotifier:
        """Register a waiting request and return the source to wait on.

        Each call must be paired with a call of `leave`.
        """
        notifier = self.by_need.get(need)
        if notifier is None:
            notifier = self.by_need[need] = HolderNotifier()
        notifier.waiting += 1
        return notifier

    def leave(self, need: endpoints.Need) -> None:
        """Unregister a waiting request; the last one removes the source."""
        notifier = self.by_need[need]
        notifier.waiting -= 1
        if not notifier.waiting:
            del self.by_need[need]

    def change(self, need: endpoints.Need) -> None:
        """Wake the requests that wait for a model or an adapter."""
        notifier = self.by_need.get(need)
        if notifier is not None:
            notifier.change()
