"""Wake-ups of tasks that wait for changes outside the sections."""

from __future__ import annotations

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import endpoints

# Key for requests that are not for a model.
NO_MODEL_KEY: endpoints.ModelKey = ("", "")


class Notifier(blackboard.Source):
    """Source that counts changes.

    :ivar count: number of changes so far
    """

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def change(self) -> None:
        """Record a change and wake all tasks that wait for one."""
        self.count += 1
        self._notify()

    def is_newer(self, count: int) -> blackboard.Condition:
        """Return a condition that holds once a further change has occurred.

        :param count: number of changes that the caller has already seen
        """
        return blackboard.Condition(self, lambda: self.count > count)


class HolderNotifier(Notifier):
    """Source of changes to the engines that hold one model or adapter.

    :ivar waiting: number of requests that wait for a change
    """

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0


@attrs.define(eq=False)
class HolderNotifiers:
    """Change sources that requests wait on, by model and adapter."""

    by_model_key: dict[endpoints.ModelKey, HolderNotifier] = attrs.field(
        factory=dict
    )

    def join(self, model_key: endpoints.ModelKey) -> HolderNotifier:
        """Register a waiting request and return the source to wait on.

        Each call must be paired with a call of `leave`.
        """
        notifier = self.by_model_key.get(model_key)
        if notifier is None:
            notifier = self.by_model_key[model_key] = HolderNotifier()
        notifier.waiting += 1
        return notifier

    def leave(self, model_key: endpoints.ModelKey) -> None:
        """Unregister a waiting request; the last one removes the source."""
        notifier = self.by_model_key[model_key]
        notifier.waiting -= 1
        if not notifier.waiting:
            del self.by_model_key[model_key]

    def change(self, model_key: endpoints.ModelKey) -> None:
        """Wake the requests that wait for a model or an adapter."""
        notifier = self.by_model_key.get(model_key)
        if notifier is not None:
            notifier.change()
