"""Conversion of inventories and rule sets to and from plain documents."""

from __future__ import annotations

from collections.abc import Mapping
import typing
from typing import Any

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import failures
from bronzetrack.wire import converter

DOCUMENT_CLASSES: dict[str, type] = {
    "inventory": inventories.Inventory,
    "rules": rule_sets.Rules,
}


def write_document(item: Any) -> dict[str, Any]:
    """Return the plain document of an inventory or a rule set."""
    return converter.DOCUMENTS.unstructure(item)


def read_document(kind: str, document: Any) -> Any | failures.Failure:
    """Return the inventory or rule set of a document, or a failure."""
    return _structure(document, DOCUMENT_CLASSES[kind])


def apply_delta(
    kind: str, current: Any, delta: Mapping[str, Any]
) -> Any | failures.Failure:
    """Return a copy of an inventory or rule set with entries changed.

    Only the changed entries are converted, since whole inventories are
    large and changes are frequent.

    :param delta: changed entries by section, None for a removed entry; a
        section that is no mapping is replaced as a whole
    """
    cls = DOCUMENT_CLASSES[kind]
    hints = typing.get_type_hints(cls)
    changes: dict[str, Any] = {}
    for section, changed in delta.items():
        if section not in hints:
            return failures.Failure(
                failures.Reason.CONFIGURATION_INVALID,
                f"unknown section {section!r}",
            )
        by_name = isinstance(getattr(current, section), Mapping)
        if isinstance(changed, Mapping) != by_name:
            return failures.Failure(
                failures.Reason.CONFIGURATION_INVALID,
                (
                    f"{section}: entries by name expected"
                    if by_name
                    else f"{section}: a whole value expected"
                ),
            )
        value = _structure(_drop_removed(changed), hints[section])
        if isinstance(value, failures.Failure):
            return value
        if isinstance(changed, Mapping):
            kept = {
                name: entry
                for name, entry in getattr(current, section).items()
                if name not in changed
            }
            value = {**kept, **value}
        changes[section] = value
    return attrs.evolve(current, **changes)


def _drop_removed(changed: Any) -> Any:
    if not isinstance(changed, Mapping):
        return changed
    return {
        name: entry for name, entry in changed.items() if entry is not None
    }


def _structure(document: Any, cls: Any) -> Any | failures.Failure:
    try:
        return converter.DOCUMENTS.structure(document, cls)
    # Corrupt input makes cattrs raise many kinds of error.
    except Exception as error:
        return converter.describe_failure(
            failures.Reason.CONFIGURATION_INVALID, error
        )
