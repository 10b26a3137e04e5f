"""The `config` commands."""

from __future__ import annotations

import pathlib

import attrs
import click

from bronzetrack.client import differences
from bronzetrack.client import publisher
from bronzetrack.console import options
from bronzetrack.console import publishing
from bronzetrack.console import runner
from bronzetrack.core import failures
from bronzetrack.wire import documents


@click.group("config")
def command() -> None:
    """Compare with the configuration in force and list publications."""


@command.command(
    "diff", epilog="Example: bronzetrack config diff inventory.json"
)
@publishing.FILE
@options.log_url
@click.option(
    "--kind",
    type=click.Choice(sorted(documents.DOCUMENT_CLASSES)),
    help="Kind of document in FILE; default: inferred from its sections.",
)
@options.output_format
def diff(
    file: pathlib.Path, log_url: str, kind: str | None, output_format: str
) -> None:
    """List the changes that publishing FILE would make."""
    document = publishing.read_file(file)
    kind = kind or infer_kind(document)
    if kind is None:
        raise click.UsageError(
            f"{file} may be an inventory or rules; specify --kind"
        )
    value = documents.read_document(kind, document)
    if isinstance(value, failures.Failure):
        options.fail(value)
    state = runner.run_with_log(log_url, publisher.read_configuration)
    if isinstance(state, failures.Failure):
        options.fail(state)
    found = differences.list_differences(
        getattr(state.configuration, kind), value
    )
    options.print_rows([attrs.asdict(item) for item in found], output_format)


def infer_kind(document: object) -> str | None:
    """Return the kind of a document, or None if its sections are ambiguous.

    A kind matches if it has all sections of the document.
    """
    if not isinstance(document, dict):
        return None
    kinds = [
        kind
        for kind, cls in documents.DOCUMENT_CLASSES.items()
        if set(document) <= {field.name for field in attrs.fields(cls)}
    ]
    return kinds[0] if len(kinds) == 1 else None


@command.command("history", epilog="Example: bronzetrack config history")
@options.log_url
@options.output_format
def history(log_url: str, output_format: str) -> None:
    """List the latest publications and their verdicts."""
    state = runner.run_with_log(log_url, publisher.read_configuration)
    if isinstance(state, failures.Failure):
        options.fail(state)
    rows = [
        {
            "offset": verdict.offset,
            "accepted": verdict.accepted,
            "newest": verdict.offset == state.configuration.offset,
            "author": verdict.author,
            "reason": verdict.reason,
        }
        for verdict in state.verdicts
    ]
    options.print_rows(rows, output_format)
