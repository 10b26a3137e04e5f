"""Mistakes in a settings file."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures

MAX_VALUE_CHARACTERS = 200


@attrs.frozen
class Mistake:
    """One mistake in a settings file.

    :param section: name of the section, empty for a mistake that concerns the
        whole file
    :param key: name of the key, empty for a mistake that concerns the section
    :param value: value as written in the file, empty if there is none
    :param failure: reason and description of the mistake
    """

    section: str
    key: str
    value: str
    failure: failures.Failure

    def __str__(self) -> str:
        location = (
            f"[{self.section}] {self.key}".rstrip() if self.section else ""
        )
        value = (
            f" = {self.value[:MAX_VALUE_CHARACTERS]!r}" if self.value else ""
        )
        detail = self.failure.detail
        return f"{location}{value}: {detail}" if location else detail


def make_invalid(section: str, key: str, value: str, detail: str) -> Mistake:
    """Return a mistake about a known section or key, or the whole file."""
    failure = failures.Failure(failures.Reason.SETTING_INVALID, detail)
    return Mistake(section, key, value, failure)


def make_unknown(section: str, key: str, value: str, detail: str) -> Mistake:
    """Return a mistake about an unknown section or key."""
    failure = failures.Failure(failures.Reason.SETTING_UNKNOWN, detail)
    return Mistake(section, key, value, failure)
