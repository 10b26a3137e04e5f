"""Exceptions of the project."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzetrack.core import failures


class BronzetrackError(Exception):
    """Base class of all exceptions of the project."""


class UnknownEntryError(BronzetrackError):
    """Raised when a registry has no entry for a key."""

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
    """Raised when a key is registered twice in a registry."""

    def __init__(self, registry: str, key: str) -> None:
        super().__init__(f"{registry} already has an entry {key!r}")
        self.registry = registry
        self.key = key


class SectionOwnershipError(BronzetrackError):
    """Raised when a controller writes a section that it does not own."""

    def __init__(self, section: str, writer: str) -> None:
        super().__init__(
            f"controller {writer} may not write section {section}"
        )
        self.section = section
        self.writer = writer


class FailureError(BronzetrackError):
    """Carries a failure through code that can only raise exceptions."""

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(f"{failure.reason.value}: {failure.detail}")
        self.failure = failure
