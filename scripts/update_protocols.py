"""Rewrites the tables of messages and records in docs/protocols.md."""

from __future__ import annotations

import importlib
import pathlib
import re
import sys

import attrs

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "protocols.md"
sys.path.insert(0, str(ROOT / "src"))

from bronzetrack.core import messages  # noqa: E402
from bronzetrack.core import records  # noqa: E402
from bronzetrack.core import registry as registries  # noqa: E402
from bronzetrack.daemon import process  # noqa: E402


def write_rows(registry: registries.Registry[type]) -> str:
    """Return a row for each class, in order of module."""
    items = sorted(registry.items(), key=lambda item: item[1].__module__)
    return "".join(write_row(name, cls) for name, cls in items)


def write_row(name: str, cls: type) -> str:
    """Return the row of a message or record."""
    fields = ", ".join(f"`{field.name}`" for field in attrs.fields(cls))
    summary = (cls.__doc__ or "").splitlines()[0]
    places = [f"`{cls.__module__.removeprefix('bronzetrack.')}`"]
    stream = getattr(importlib.import_module(cls.__module__), "STREAM", None)
    if stream is not None:
        places.insert(0, f"`{stream}`")
    return f"| `{name}` | {fields} | {summary} | {', '.join(places)} |\n"


def replace_rows(page: str, title: str, rows: str) -> str:
    """Return the page with the rows of the table of a title replaced."""
    pattern = rf"(^\| {title} \| fields .*\n\| ---.*\n)(?:\|.*\n)*"
    return re.sub(
        pattern, lambda found: found[1] + rows, page, flags=re.MULTILINE
    )


def main() -> None:
    """Rewrite the page."""
    process.import_controllers()
    page = PAGE.read_text(encoding="utf-8")
    page = replace_rows(page, "message", write_rows(messages.MESSAGES))
    page = replace_rows(page, "record", write_rows(records.RECORDS))
    PAGE.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
