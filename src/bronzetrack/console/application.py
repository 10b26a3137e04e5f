"""Root command of the command-line tool."""

from __future__ import annotations

import importlib
import pkgutil

import click

from bronzetrack.console import commands


@click.group()
@click.version_option(package_name="bronzetrack")
def application() -> None:
    """Operate a bronzetrack site and send requests to it."""


def add_commands() -> None:
    """Register the command of each module in the commands package."""
    for module in pkgutil.iter_modules(commands.__path__):
        found = importlib.import_module(f"{commands.__name__}.{module.name}")
        application.add_command(found.command)


def main() -> None:
    """Run the command-line tool."""
    add_commands()
    application()
