"""The `trace` commands."""

from __future__ import annotations

import functools
import pathlib

import click

from bronzetrack.client import recorder
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures
from bronzetrack.traces import cores
from bronzetrack.traces import replay


@click.group("trace")
def command() -> None:
    """Record streams of the log and replay the recorded traces."""


@command.command(
    "record", epilog="Example: bronzetrack trace record keys > incident.json"
)
@click.argument("stream", type=click.Choice(cores.list_streams()))
@options.log_url
@click.option("--description", default="", help="Description of the incident.")
def record(stream: str, log_url: str, description: str) -> None:
    """Print the retained part of STREAM as a trace."""
    work = functools.partial(
        recorder.record_stream, stream=stream, description=description
    )
    trace = runner.run_with_log(log_url, work)
    if isinstance(trace, failures.Failure):
        options.fail(trace)
    click.echo(replay.write_trace(trace))


@command.command(
    "replay", epilog="Example: bronzetrack trace replay incident.json"
)
@click.argument(
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def replay_file(file: pathlib.Path) -> None:
    """Replay FILE and report outcomes that differ from the expected ones."""
    trace = replay.read_trace(file.read_text(encoding="utf-8"))
    if isinstance(trace, failures.Failure):
        options.fail(trace)
    differences = replay.replay_trace(trace)
    if isinstance(differences, failures.Failure):
        options.fail(differences)
    for item in differences:
        click.echo(
            f"{item.name}: expected {item.expected}, replayed {item.replayed}",
            err=True,
        )
    if differences:
        raise SystemExit(options.EXIT_FAILURE)
    click.echo(f"{file}: all {len(trace.outcomes)} outcomes match")
