"""Conversion of the blackboard to JSON for operators."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bronzetrack import board as boards


def dump_board(board: boards.Blackboard) -> dict[str, Any]:
    """Return every section, and the filling of the mailboxes."""
    sections = {
        section.name: {
            "revision": section.revision,
            "value": dump_value(section.value),
        }
        for section in board.list_sections()
    }
    return {
        "vm": {"name": board.vm, "incarnation": board.incarnation},
        "settings": dump_value(board.settings),
        "mailboxes": {
            name: len(mailbox) for name, mailbox in board.mailboxes.items()
        },
        **sections,
    }


def dump_value(value: Any) -> Any:
    """Return a value that JSON can hold."""
    if attrs.has(type(value)):
        return {
            field.name: dump_value(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(key): dump_value(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [dump_value(item) for item in value]
    if isinstance(value, (set, frozenset)):
        return sorted(dump_value(item) for item in value)
    if isinstance(value, bytes):
        return f"{len(value)} bytes"
    return value
