"""Registries, which are filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

from bronzetrack.core import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """A named mapping from a key to a registered object.

    :param name: description of the registered objects, for error messages
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._entries: dict[str, T] = {}

    def register(self, key: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under a key.

        :raises errors.DuplicateEntryError: the key is already registered
        """

        def decorate(target: T) -> T:
            if key in self._entries:
                raise errors.DuplicateEntryError(self.name, key)
            self._entries[key] = target
            return target

        return decorate

    def lookup(self, key: str) -> T:
        """Return the object registered under a key.

        :raises errors.UnknownEntryError: the key is not registered
        """
        try:
            return self._entries[key]
        except KeyError:
            raise errors.UnknownEntryError(
                self.name, key, tuple(self._entries)
            ) from None

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def items(self) -> Iterator[tuple[str, T]]:
        """Return an iterator over the keys and the registered objects."""
        return iter(self._entries.items())
