"""Mistakes in a settings file."""

from __future__ import annotations

import attrs

from bronzetrack.core import failures

SHOWN_CHARACTERS = 200


@attrs.frozen
class Mistake:
    """One mistake in a settings file.

    :param section: empty for a mistake of the file as a whole
    :param value: as it stands in the file, empty if there is none
    """

    section: str
    key: str
    value: str
    failure: failures.Failure

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".rstrip() if self.section else ""
        value = f" = {self.value[:SHOWN_CHARACTERS]!r}" if self.value else ""
        detail = self.failure.detail
        return f"{place}{value}: {detail}" if place else detail


def make_invalid(section: str, key: str, value: str, detail: str) -> Mistake:
    """Return a mistake about something known."""
    failure = failures.Failure(failures.Reason.SETTING_INVALID, detail)
    return Mistake(section, key, value, failure)


def make_unknown(section: str, key: str, value: str, detail: str) -> Mistake:
    """Return a mistake about an unknown section or key."""
    failure = failures.Failure(failures.Reason.SETTING_UNKNOWN, detail)
    return Mistake(section, key, value, failure)
