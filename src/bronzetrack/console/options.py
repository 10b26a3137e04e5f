"""Options, error messages and output that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import json
import pathlib
from typing import Any
from typing import NoReturn

import click

from bronzetrack.core import failures
from bronzetrack.settings import model

EXIT_FAILURE = 1


class SettingType(click.ParamType):
    """A command-line parameter that is validated like a setting.

    :param kind: kind of setting; it parses the text and describes the allowed
        values
    """

    def __init__(self, name: str, kind: model.ValueType) -> None:
        self.name = name
        self.kind = kind

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Return the parsed value; fail if it is not allowed."""
        try:
            return self.kind.parse(value)
        except ValueError:
            self.fail(f"{value!r} is not {self.kind.allowed}", param, ctx)


ADDRESS = SettingType("ip:port", model.ADDRESS)

log_url = click.option(
    "--log-url",
    type=SettingType("url", model.URL),
    envvar="BRONZETRACK_LOG_URL",
    required=True,
    help="Base URL of the platform's log service.",
)
addresses = click.option(
    "--address",
    "addresses",
    type=ADDRESS,
    envvar="BRONZETRACK_ADDRESSES",
    multiple=True,
    required=True,
    help="Callers' address of a VM, IP:port; may be given several times.",
)
operators = click.option(
    "--operators",
    "operators",
    type=ADDRESS,
    envvar="BRONZETRACK_OPERATORS",
    multiple=True,
    required=True,
    help="Operators' address of a VM, IP:port; may be given several times.",
)
output_format = click.option(
    "--format",
    "output_format",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Output format.",
)
author = click.option(
    "--author",
    envvar="USER",
    default="operator",
    help="Name of the author, recorded in the history.",
)

HINTS: dict[failures.Reason, str] = {
    failures.Reason.BAD_REQUEST: "correct the request",
    failures.Reason.CONFIGURATION_CONFLICT: (
        "look at 'bronzetrack config history' and publish again"
    ),
    failures.Reason.CONFIGURATION_INVALID: "correct the document",
    failures.Reason.LOG_UNAVAILABLE: "check --log-url and the log service",
    failures.Reason.APPEND_UNCERTAIN: (
        "look at 'bronzetrack config history' before publishing again"
    ),
    failures.Reason.NO_CONFIGURATION: "publish an inventory and rules",
    failures.Reason.ANSWER_INCOMPLETE: (
        "send the request again, with the same key if it had one"
    ),
    failures.Reason.PEER_PROTOCOL: "check that the address belongs to a VM",
    failures.Reason.PEER_UNREACHABLE: "check the addresses of the VMs",
    failures.Reason.SETTING_INVALID: "see docs/settings.md",
}


def fail(failure: failures.Failure) -> NoReturn:
    """Print the cause and a remedy in one line and exit with a failure."""
    hint = HINTS.get(failure.reason, "see docs/OPERATIONS.md")
    detail = " ".join(failure.detail.split())
    click.echo(f"error: {failure.reason.value}: {detail}; {hint}", err=True)
    raise SystemExit(EXIT_FAILURE)


def report_mistakes(
    file: pathlib.Path, mistakes: Sequence[Any], output_format: str
) -> None:
    """Print the mistakes in a file and exit with a failure if it has any."""
    lines = [str(mistake) for mistake in mistakes]
    if output_format == "json":
        rows = [{"file": str(file), "mistake": line} for line in lines]
        click.echo(json.dumps(rows, indent=2))
    elif lines:
        for line in lines:
            click.echo(f"{file}: {line}", err=True)
    else:
        click.echo(f"{file}: no mistakes")
    if lines:
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
    cells = [[_format_cell(row[name]) for name in names] for row in rows]
    widths = [
        max(len(line[column]) for line in [names, *cells])
        for column in range(len(names))
    ]
    for line in [names, *cells]:
        padded = [text.ljust(width) for text, width in zip(line, widths)]
        echo("  ".join(padded).rstrip())


def _format_cell(value: Any) -> str:
    return "-" if value is None or value == "" else str(value)
