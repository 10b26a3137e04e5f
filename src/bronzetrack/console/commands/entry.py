"""The `entry` command."""

from __future__ import annotations

import functools

import attrs
import click

from bronzetrack.client import sender
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures


@click.command(
    "entry",
    epilog="Example: bronzetrack entry --address 10.0.0.1:8000 launch-log",
)
@click.argument("model")
@options.addresses
@options.output_format
def command(
    model: str, addresses: tuple[str, ...], output_format: str
) -> None:
    """List the addresses to use for MODEL, best first."""
    work = functools.partial(
        sender.look_up_entries, addresses=addresses, model=model
    )
    found = runner.run_with_pool(work)
    if isinstance(found, failures.Failure):
        options.fail(found)
    rows = [attrs.asdict(entry) for entry in found]
    options.print_rows(rows, output_format)
