"""Exceptions that mark a programming or protocol error."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzetrack.core import failures


class BronzetrackError(Exception):
    """Base of all exceptions of the project."""


class UnknownEntryError(BronzetrackError):
    """A registry has no entry for a key."""

    def __init__(
        self, registry: str, key: str, known: tuple[str, ...]
    ) -> None:
        super().__init__(
            f"{registry} has no entry {key!r}; known: {', '.join(known)}"
        )
        self.registry = registry
        self.key = key
        self.known = known


class DuplicateEntryError(BronzetrackError):
    """A registry key was registered twice."""

    def __init__(self, registry: str, key: str) -> None:
        super().__init__(f"{registry} already has an entry {key!r}")
        self.registry = registry
        self.key = key


class WriterError(BronzetrackError):
    """A section was written by a controller that does not own it."""

    def __init__(self, section: str, writer: str) -> None:
        super().__init__(f"{writer} does not write the section {section}")
        self.section = section
        self.writer = writer


class FailureError(BronzetrackError):
    """Carries a failure through code that can only raise."""

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(f"{failure.reason.value}: {failure.detail}")
        self.failure = failure
