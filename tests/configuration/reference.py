"""Reference replay of the whole configuration stream, without truncation."""

from __future__ import annotations

import copy
from typing import Any

import attrs

from bronzetrack.configuration import validation
from bronzetrack.core import failures
from bronzetrack.wire import documents


@attrs.define
class Replay:
    """Reference model of the documents in force.

    The history holds the offset and the plain documents in force at each
    offset of the stream.
    """

    offset: int = -1
    plain: dict[str, Any] = attrs.field(
        factory=lambda: {"inventory": {}, "rules": {}}
    )
    history: list[tuple[int, dict[str, Any]]] = attrs.field(
        factory=lambda: [(-1, {})]
    )

    def add(self, record: Any) -> None:
        offset = len(self.history) - 1
        if type(record).__name__ == "PublicationRecord":
            changed = copy.deepcopy(self.plain)
            changed[record.kind] = change(
                changed[record.kind], record.document, record.delta
            )
            if record.base == self.offset and is_valid(changed):
                self.offset, self.plain = offset, changed
        self.history.append((self.offset, self.plain))


def change(current: Any, document: Any, delta: bool) -> Any:
    if not delta:
        return document
    changed = dict(current)
    for section, entries in document.items():
        if not isinstance(entries, dict):
            changed[section] = entries
            continue
        merged = {**changed.get(section, {}), **entries}
        changed[section] = {
            name: entry for name, entry in merged.items() if entry is not None
        }
    return changed


def is_valid(plain: dict[str, Any]) -> bool:
    inventory = documents.read_document("inventory", plain["inventory"])
    rules = documents.read_document("rules", plain["rules"])
    if isinstance(inventory, failures.Failure):
        return False
    if isinstance(rules, failures.Failure):
        return False
    return not validation.list_errors(inventory, rules)
