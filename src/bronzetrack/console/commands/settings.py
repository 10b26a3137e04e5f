"""The `settings` commands."""

from __future__ import annotations

import pathlib

import click

from bronzetrack.console import options
from bronzetrack.settings import loader
from bronzetrack.settings import reference


@click.group("settings")
def command() -> None:
    """Check a settings file and print the reference of all settings."""


@command.command(
    "check", epilog="Example: bronzetrack settings check vm-1.ini"
)
@click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)
@options.output_format
def check(file: pathlib.Path, output_format: str) -> None:
    """Report every mistake in FILE."""
    found = loader.read_settings(file)
    mistakes = found if isinstance(found, list) else []
    options.report_mistakes(file, mistakes, output_format)


@command.command("reference", epilog="Example: bronzetrack settings reference")
def print_reference() -> None:
    """Print docs/settings.md, generated from the settings classes."""
    click.echo(reference.render_reference(), nl=False)
