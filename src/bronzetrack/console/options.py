"""Options and errors that several commands share."""

from __future__ import annotations

from collections.abc import Callable
import json
from typing import Any
from typing import NoReturn

import click

from bronzetrack.core import failures

EXIT_FAILURE = 1

log_url = click.option(
    "--log-url",
    envvar="BRONZETRACK_LOG_URL",
    required=True,
    help="Base URL of the platform's log service.",
)
addresses = click.option(
    "--address",
    "addresses",
    envvar="BRONZETRACK_ADDRESSES",
    multiple=True,
    required=True,
    help="Callers' address of a VM, IP:port; may be given several times.",
)
output_format = click.option(
    "--format",
    "output_format",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="How to print what is listed.",
)
author = click.option(
    "--author",
    envvar="USER",
    default="operator",
    help="Who publishes, for the history.",
)

HINTS: dict[failures.Reason, str] = {
    failures.Reason.CONFIGURATION_CONFLICT: (
        "look at 'bronzetrack config history' and publish again"
    ),
    failures.Reason.CONFIGURATION_INVALID: "correct the document",
    failures.Reason.LOG_UNAVAILABLE: "check --log-url and the log service",
    failures.Reason.APPEND_UNCERTAIN: (
        "look at 'bronzetrack config history' before publishing again"
    ),
    failures.Reason.PEER_UNREACHABLE: "check the addresses of the VMs",
}


def fail(failure: failures.Failure) -> NoReturn:
    """End the command with one line: the cause and what to do."""
    hint = HINTS.get(failure.reason, "see docs/operations.md")
    click.echo(
        f"error: {failure.reason.value}: {failure.detail}; {hint}", err=True
    )
    raise SystemExit(EXIT_FAILURE)


def print_rows(
    rows: list[dict[str, Any]],
    output_format: str,
    echo: Callable[[str], Any] = click.echo,
) -> None:
    """Print rows as a table or as JSON."""
    if output_format == "json":
        echo(json.dumps(rows, indent=2))
        return
    if not rows:
        return
    names = list(rows[0])
    cells = [[str(row[name]) for name in names] for row in rows]
    widths = [
        max(len(line[column]) for line in [names, *cells])
        for column in range(len(names))
    ]
    for line in [names, *cells]:
        padded = [text.ljust(width) for text, width in zip(line, widths)]
        echo("  ".join(padded).rstrip())
