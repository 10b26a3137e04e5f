"""The `explain` command."""

from __future__ import annotations

from typing import TextIO

import click

from bronzetrack.client import explainer


@click.command(
    "explain", epilog="Example: bronzetrack explain 9c41d07be2a35f68 *.log"
)
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r"))
def command(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print the timeline of a request from the log lines of all VMs.

    Without FILES, lines are read from standard input. Lines about the
    adapter and the endpoints of the request are included for the time
    around it.
    """
    sources = files or (click.get_text_stream("stdin"),)
    lines = [line for source in sources for line in source]
    timeline = explainer.explain_request(lines, request_id)
    if not timeline:
        raise click.ClickException(
            f"no log line has the request id {request_id}"
        )
    for entry in timeline:
        click.echo(entry)
