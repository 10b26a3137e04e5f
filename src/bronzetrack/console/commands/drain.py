"""The `drain` command."""

from __future__ import annotations

import click
import httpcore

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
    """Begin the planned stop of VM; requests in progress are finished."""

    async def drain(
        pool: httpcore.AsyncConnectionPool,
    ) -> str | failures.Failure:
        known = await inspector.find_operators(pool, operators)
        if isinstance(known, failures.Failure):
            return known
        if not known.get(vm):
            names = ", ".join(sorted(known))
            return failures.Failure(
                failures.Reason.BAD_REQUEST,
                f"unknown VM {vm!r}; known: {names}",
            )
        answer = await inspector.begin_drain(pool, known[vm])
        if isinstance(answer, failures.Failure):
            return answer
        return known[vm]

    found = runner.run_with_pool(drain)
    if isinstance(found, failures.Failure):
        options.fail(found)
    click.echo(f"{vm} stops; watch it with: bronzetrack status")
