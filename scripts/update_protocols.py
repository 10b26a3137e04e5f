"""Rewrites the tables of messages and records in docs/protocols.md.

Existing descriptions are kept. The description of a new row is the summary
line of the docstring of its class.
"""

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


def format_rows(registry: registries.Registry[type], page: str) -> str:
    """Return a table row for each class, ordered by module.

    :param page: current text of the page, whose descriptions are kept
    """
    items = sorted(registry.items(), key=lambda item: item[1].__module__)
    return "".join(format_row(name, cls, page) for name, cls in items)


def format_row(name: str, cls: type, page: str) -> str:
    """Return the table row of a message or record."""
    existing = re.search(
        rf"^\| `{name}` \| `[^|]*\| ([^|]+) \| ", page, re.MULTILINE
    )
    fields = ", ".join(f"`{field.name}`" for field in attrs.fields(cls))
    summary = existing[1] if existing else (cls.__doc__ or "").splitlines()[0]
    locations = [f"`{cls.__module__.removeprefix('bronzetrack.')}`"]
    stream = getattr(importlib.import_module(cls.__module__), "STREAM", None)
    if stream is not None:
        locations.insert(0, f"`{stream}`")
    return f"| `{name}` | {fields} | {summary} | {', '.join(locations)} |\n"


def replace_rows(page: str, title: str, rows: str) -> str:
    """Return the page with the rows of one table replaced.

    :param title: heading of the first column of the table
    """
    pattern = rf"(^\| {title} \| fields .*\n\| ---.*\n)(?:\|.*\n)*"
    return re.sub(
        pattern, lambda found: found[1] + rows, page, flags=re.MULTILINE
    )


def main() -> None:
    """Rewrite both tables of the page."""
    process.import_controllers()
    page = PAGE.read_text(encoding="utf-8")
    page = replace_rows(page, "message", format_rows(messages.MESSAGES, page))
    page = replace_rows(page, "record", format_rows(records.RECORDS, page))
    PAGE.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
