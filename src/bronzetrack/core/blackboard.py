"""Sections and mailboxes of which the state of a process consists."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import anyio
import attrs

from bronzetrack.core import errors

T = TypeVar("T")


class Source:
    """Something whose changes can be waited for."""

    def __init__(self) -> None:
        self._watchers: set[anyio.Event] = set()

    def watch(self, event: anyio.Event) -> None:
        """Set an event with each change, until `unwatch`."""
        self._watchers.add(event)

    def unwatch(self, event: anyio.Event) -> None:
        """Leave an event alone from now on."""
        self._watchers.discard(event)

    def _notify(self) -> None:
        for event in self._watchers:
            event.set()


@attrs.frozen
class Condition:
    """A condition that can come true only when its source changes."""

    source: Source
    holds: Callable[[], bool]


async def wait_any(
    *conditions: Condition, timeout_ms: int | None = None
) -> None:
    """Wait until any of several conditions holds or a time has passed.

    All conditions share one event. A task for each of them took four times
    the processor time.

    :param timeout_ms: the longest wait
    """
    delay = None if timeout_ms is None else max(0, timeout_ms) / 1000
    with anyio.move_on_after(delay):
        while not any(condition.holds() for condition in conditions):
            await _wait_change(conditions)


async def _wait_change(conditions: tuple[Condition, ...]) -> None:
    event = anyio.Event()
    for condition in conditions:
        condition.source.watch(event)
    try:
        await event.wait()
    finally:
        for condition in conditions:
            condition.source.unwatch(event)


class Section(Source, Generic[T]):
    """A value with one writing controller and any number of readers.

    :param name: name of the section, also in the state dump
    :param writer: name of the only controller that may write it
    :param value: the first value
    """

    def __init__(self, name: str, writer: str, value: T) -> None:
        super().__init__()
        self.name = name
        self.writer = writer
        self._value = value
        self._revision = 0

    @property
    def value(self) -> T:
        return self._value

    @property
    def revision(self) -> int:
        """How often the section was written."""
        return self._revision

    def write(self, writer: str, value: T) -> None:
        """Replace the value and wake those who wait for a change.

        :raises errors.WriterError: the section belongs to another writer
        """
        if writer != self.writer:
            raise errors.WriterError(self.name, writer)
        self._value = value
        self._revision += 1
        self._notify()

    def meets(self, check: Callable[[T], bool]) -> Condition:
        """Return the condition that the value passes a check."""
        return Condition(self, lambda: check(self._value))

    def is_newer(self, revision: int) -> Condition:
        """Return the condition that the section was written since."""
        return Condition(self, lambda: self._revision > revision)

    async def wait_change(self, revision: int) -> int:
        """Wait until the section is newer than a revision.

        :returns: the present revision
        """
        await wait_any(self.is_newer(revision))
        return self._revision


class Mailbox(Source, Generic[T]):
    """A bounded queue with many senders and one reading controller.

    :param name: name of the mailbox, also in the state dump
    :param capacity: how many items it holds
    """

    def __init__(self, name: str, capacity: int) -> None:
        super().__init__()
        self.name = name
        self.capacity = capacity
        self._items: collections.deque[T] = collections.deque()

    def __len__(self) -> int:
        return len(self._items)

    def post(self, item: T) -> bool:
        """Add an item; return whether there was room."""
        if len(self._items) >= self.capacity:
            return False
        self._items.append(item)
        self._notify()
        return True

    def is_filled(self) -> Condition:
        """Return the condition that the mailbox holds an item."""
        return Condition(self, lambda: bool(self._items))

    async def wait_items(self) -> None:
        """Wait until the mailbox holds at least one item."""
        await wait_any(self.is_filled())

    def take(self) -> list[T]:
        """Remove and return all items."""
        items = list(self._items)
        self._items.clear()
        return items
