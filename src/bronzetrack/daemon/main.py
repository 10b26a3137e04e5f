"""Command line of the daemon."""

from __future__ import annotations

import pathlib
import sys

import anyio
import click

from bronzetrack.daemon import logs
from bronzetrack.daemon import process
from bronzetrack.settings import loader

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Settings file (INI).",
)
def main(config: pathlib.Path) -> None:
    """Run a bronzetrack daemon.

    Exits with 0 after a planned stop and 2 for bad settings.
    """
    settings = loader.read_settings(config)
    if isinstance(settings, list):
        for mistake in settings:
            click.echo(f"{config}: {mistake}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.configure_logs(
        settings.logging.level.value,
        settings.vm.name,
        settings.vm.availability_zone,
    )
    anyio.run(process.run_daemon, settings)
