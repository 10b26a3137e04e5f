"""Sections and mailboxes, which make up the state of a process."""

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
    """An object that sets the events of its watchers at each change."""

    def __init__(self) -> None:
        self._watchers: set[anyio.Event] = set()

    def watch(self, event: anyio.Event) -> None:
        """Set an event on each change until `unwatch` removes it."""
        self._watchers.add(event)

    def unwatch(self, event: anyio.Event) -> None:
        """Stop setting an event on changes."""
        self._watchers.discard(event)

    def _notify(self) -> None:
        for event in self._watchers:
            event.set()


@attrs.frozen
class Condition:
    """A condition that can become true only when its source changes.

    :param source: the object whose changes trigger a new check
    :param holds: returns whether the condition is met
    """

    source: Source
    holds: Callable[[], bool]


async def wait_any(
    *conditions: Condition, timeout_ms: int | None = None
) -> None:
    """Wait until any of several conditions holds or a timeout expires.

    All conditions share one event. One task for each condition took four
    times the CPU time.

    :param timeout_ms: the longest wait in milliseconds, None for no limit
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
    :param value: the initial value
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
        """Number of times that the section was written."""
        return self._revision

    def write(self, writer: str, value: T) -> None:
        """Replace the value and wake the tasks that wait for a change.

        :param writer: name of the controller that writes the value
        :raises errors.SectionWriterError: another controller owns the
            section
        """
        if writer != self.writer:
            raise errors.SectionWriterError(self.name, writer)
        self._value = value
        self._revision += 1
        self._notify()

    def satisfies(self, check: Callable[[T], bool]) -> Condition:
        """Return the condition that the value passes a check."""
        return Condition(self, lambda: check(self._value))

    def is_newer(self, revision: int) -> Condition:
        """Return the condition that the section is newer than a revision."""
        return Condition(self, lambda: self._revision > revision)

    async def wait_change(self, revision: int) -> int:
        """Wait until the section is newer than a revision.

        :returns: the current revision
        """
        await wait_any(self.is_newer(revision))
        return self._revision


class Mailbox(Source, Generic[T]):
    """A bounded queue with many senders and one reading controller.

    :param name: name of the mailbox, also in the state dump
    :param capacity: the most items that it holds
    """

    def __init__(self, name: str, capacity: int) -> None:
        super().__init__()
        self.name = name
        self.capacity = capacity
        self._items: collections.deque[T] = collections.deque()

    def __len__(self) -> int:
        return len(self._items)

    def post(self, item: T) -> bool:
        """Add an item unless the mailbox is full.

        :returns: whether the item was added
        """
        if len(self._items) >= self.capacity:
            return False
        self._items.append(item)
        self._notify()
        return True

    def is_not_empty(self) -> Condition:
        """Return the condition that the mailbox is not empty."""
        return Condition(self, lambda: bool(self._items))

    async def wait_items(self) -> None:
        """Wait until the mailbox is not empty."""
        await wait_any(self.is_not_empty())

    def take(self) -> list[T]:
        """Remove and return all items."""
        items = list(self._items)
        self._items.clear()
        return items
