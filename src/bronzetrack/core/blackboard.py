"""Sections and mailboxes of which the state of a process consists."""

from __future__ import annotations

import collections
from typing import Generic
from typing import TypeVar

import anyio

from bronzetrack.core import errors

T = TypeVar("T")


class Section(Generic[T]):
    """A value with one writing controller and any number of readers.

    :param name: name of the section, also in the state dump
    :param writer: name of the only controller that may write it
    :param value: the first value
    """

    def __init__(self, name: str, writer: str, value: T) -> None:
        self.name = name
        self.writer = writer
        self._value = value
        self._revision = 0
        self._changed = anyio.Event()

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
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_change(self, revision: int) -> int:
        """Wait until the section is newer than a revision.

        :returns: the present revision
        """
        while self._revision <= revision:
            await self._changed.wait()
        return self._revision


class Mailbox(Generic[T]):
    """A bounded queue with many senders and one reading controller.

    :param name: name of the mailbox, also in the state dump
    :param capacity: how many items it holds
    """

    def __init__(self, name: str, capacity: int) -> None:
        self.name = name
        self.capacity = capacity
        self._items: collections.deque[T] = collections.deque()
        self._filled = anyio.Event()

    def __len__(self) -> int:
        return len(self._items)

    def post(self, item: T) -> bool:
        """Add an item; return whether there was room."""
        if len(self._items) >= self.capacity:
            return False
        self._items.append(item)
        self._filled.set()
        return True

    async def wait_items(self) -> None:
        """Wait until the mailbox holds at least one item."""
        while not self._items:
            self._filled = anyio.Event()
            await self._filled.wait()

    def take(self) -> list[T]:
        """Remove and return all items."""
        items = list(self._items)
        self._items.clear()
        return items
