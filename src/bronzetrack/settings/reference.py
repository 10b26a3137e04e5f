"""Generates the reference of all settings from their classes."""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import Any

import attrs

from bronzetrack.settings import loader

HEADER = """\
# Settings

Made by `bronzetrack settings reference` from `bronzetrack.settings.model`;
a test compares this page with the classes.

A settings file is an INI file in UTF-8 of at most 65,536 bytes, without
interpolation and without a `DEFAULT` section. `bronzetrackd --config FILE`
reads it once at the start; a change needs a planned stop and a new start.
`bronzetrack settings check FILE` reports every mistake with section, key,
value and what is allowed, and so does the daemon before it ends with 2.

Names state their unit: `_ms` is milliseconds, `_s` is seconds, `_bytes` is
bytes; a name that ends in a plural counts what it names.

Beyond the single values, these are mistakes: one address for two listeners; a
listener at an unspecified or multicast address, since callers and peers are
told the addresses as they stand; an address in `join` that repeats or that is
the callers' or operators' address of the same VM; a platform URL that is an
address of this daemon.
"""


def render_reference() -> str:
    """Return the reference of all settings in Markdown."""
    lines = [HEADER]
    for name, cls in loader.list_sections().items():
        lines.extend(_render_section(name, cls))
    return "\n".join(lines)


def _render_section(name: str, cls: type) -> Iterator[str]:
    yield f"## `[{name}]`\n"
    yield f"{cls.__doc__}\n"
    yield "| key | allowed | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for field in attrs.fields(cls):
        value_type = field.metadata["kind"]
        yield (
            f"| `{field.name}` | {value_type.allowed}"
            f" | {_render_default(field.default)}"
            f" | {field.metadata['description']} |"
        )
    yield ""


def _render_default(value: Any) -> str:
    if value is attrs.NOTHING:
        return "required"
    if isinstance(value, enum.Enum):
        return f"`{value.value}`"
    if isinstance(value, tuple):
        return f"`{', '.join(value)}`" if value else "none"
    if value == "":
        return "none"
    return f"`{value}`"
