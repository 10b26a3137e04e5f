"""The `drain` command."""

from __future__ import annotations

import functools

import click

from bronzetrack.client import inspector
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures


@click.command(
    "drain",
    epilog="Example: bronzetrack drain vm-3 --operators 10.0.0.1:8001",
)
@click.argument("vm")
@options.operators
def command(vm: str, operators: tuple[str, ...]) -> None:
    """Begin the planned stop of VM; requests in progress complete first."""
    work = functools.partial(inspector.begin_drain, addresses=operators, vm=vm)
    found = runner.run_with_pool(work)
    if isinstance(found, failures.Failure):
        options.fail(found)
    click.echo(
        f"{vm} is stopping; follow its progress with: bronzetrack status"
    )
