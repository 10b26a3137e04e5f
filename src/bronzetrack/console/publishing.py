"""The `check`, `publish` and `show` commands of a kind of document."""

from __future__ import annotations

import functools
import json
import pathlib
from typing import Any

import click

from bronzetrack.client import publisher
from bronzetrack.configuration import validation
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures
from bronzetrack.wire import documents

FILE = click.argument(
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)


def read_file(file: pathlib.Path) -> Any:
    """Return the JSON document in a file, or exit with a failure."""
    try:
        return json.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        options.fail(
            failures.Failure(
                failures.Reason.CONFIGURATION_INVALID, f"{file}: {error}"
            )
        )


def check_document(kind: str, document: Any) -> list[str]:
    """Return the mistakes that can be found in the document alone."""
    value = documents.read_document(kind, document)
    if isinstance(value, failures.Failure):
        return value.detail.split("; ")
    if kind == "inventory":
        return list(validation.list_inventory_errors(value))
    return list(validation.list_rule_errors(value))


def make_group(kind: str, example: str) -> click.Group:
    """Return the command group of a kind of document."""

    @click.group(kind, help=f"Check, publish and show the {kind}.")
    def group() -> None:
        pass

    @group.command(
        "check", epilog=f"Example: bronzetrack {kind} check {example}"
    )
    @FILE
    @options.output_format
    def check(file: pathlib.Path, output_format: str) -> None:
        """Report every mistake in FILE without publishing it."""
        mistakes = check_document(kind, read_file(file))
        options.report_mistakes(file, mistakes, output_format)

    @group.command(
        "publish", epilog=f"Example: bronzetrack {kind} publish {example}"
    )
    @FILE
    @options.log_url
    @options.author
    @click.option(
        "--base",
        type=int,
        default=None,
        help="Offset of the configuration that FILE is based on; default: the"
        " one in force.",
    )
    def publish(
        file: pathlib.Path, log_url: str, author: str, base: int | None
    ) -> None:
        """Publish FILE; it takes effect on all VMs within seconds."""
        work = functools.partial(
            publisher.publish,
            kind=kind,
            document=read_file(file),
            author=author,
            base=base,
        )
        result = runner.run_with_log(log_url, work)
        if isinstance(result, failures.Failure):
            options.fail(result)
        if not result.verdict.accepted:
            options.fail(
                failures.Failure(
                    failures.Reason.CONFIGURATION_CONFLICT,
                    result.verdict.reason,
                )
            )
        click.echo(f"accepted at offset {result.verdict.offset}")

    @group.command("show", epilog=f"Example: bronzetrack {kind} show")
    @options.log_url
    def show(log_url: str) -> None:
        """Print the document in force as JSON."""
        state = runner.run_with_log(log_url, publisher.read_configuration)
        if isinstance(state, failures.Failure):
            options.fail(state)
        value = getattr(state.configuration, kind)
        click.echo(json.dumps(documents.write_document(value), indent=2))

    return group
