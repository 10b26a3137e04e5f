"""The `state` command."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import json
from typing import Any

import click

from bronzetrack.client import inspector
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures


@click.command(
    "state",
    epilog="Example: bronzetrack state --operators 10.0.0.1:8001 ownership",
)
@click.argument("section", default="")
@options.operators
@click.option(
    "--limit",
    type=click.IntRange(1, inspector.MAX_LIMIT),
    default=1_000,
    show_default=True,
    help="Most entries to print of each list.",
)
@options.output_format
def command(
    section: str, operators: tuple[str, ...], limit: int, output_format: str
) -> None:
    """Print the state of a daemon, or one SECTION of it."""
    work = functools.partial(
        inspector.read_state, addresses=operators, section=section, limit=limit
    )
    found = runner.run_with_pool(work)
    if isinstance(found, failures.Failure):
        options.fail(found)
    if output_format == "json":
        click.echo(json.dumps(found, indent=2))
        return
    rows = [
        {"field": path, "value": value}
        for path, value in flatten(found["value"] if section else found)
    ]
    options.print_rows(rows, output_format)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Iterate over the leaves of a JSON value with their dotted paths."""
    if isinstance(value, dict) and value:
        items: Any = value.items()
    elif isinstance(value, list) and value:
        items = enumerate(value)
    else:
        yield path, value
        return
    for name, item in items:
        yield from flatten(item, f"{path}.{name}" if path else str(name))
