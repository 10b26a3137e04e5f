"""Comparison of the configuration in force with a document."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class Difference:
    """One entry that a publication would change.

    :param entry: section and name, such as `adapters.launch-log`
    :param change: `added`, `removed` or `changed`
    :param detail: the changed fields with their old and new values
    """

    entry: str
    change: str
    detail: str = ""


def list_differences(before: Any, after: Any) -> list[Difference]:
    """Return the differences between two inventories or two rule sets."""
    found: list[Difference] = []
    for field in attrs.fields(type(before)):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if isinstance(old, Mapping):
            found.extend(_compare_entries(field.name, old, new))
        elif old != new:
            detail = f"{old!r} -> {new!r}"
            found.append(Difference(field.name, "changed", detail))
    return found


def _compare_entries(
    section: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> list[Difference]:
    found = []
    for name in sorted({*old, *new}):
        entry = f"{section}.{name}"
        if name not in old:
            found.append(Difference(entry, "added"))
        elif name not in new:
            found.append(Difference(entry, "removed"))
        elif old[name] != new[name]:
            detail = _describe_fields(old[name], new[name])
            found.append(Difference(entry, "changed", detail))
    return found


def _describe_fields(old: Any, new: Any) -> str:
    changes = [
        f"{field.name}: "
        f"{getattr(old, field.name)!r} -> {getattr(new, field.name)!r}"
        for field in attrs.fields(type(old))
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    return ", ".join(changes)
