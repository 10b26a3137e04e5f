"""Command line of the daemon."""

from __future__ import annotations

import logging
import pathlib
import sys

import anyio
import click

from bronzetrack.daemon import exits
from bronzetrack.daemon import logs
from bronzetrack.daemon import process
from bronzetrack.settings import loader
from bronzetrack.settings import model

LOG = logging.getLogger(__name__)


@click.command(epilog="Example: bronzetrackd --config /etc/bronzetrack.ini")
@click.option(
    "--config",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Settings file (INI).",
)
def main(config: pathlib.Path) -> None:
    """Run a bronzetrack daemon.

    Exits with 0 after a planned stop, 2 for bad settings, 3 after the
    failure of a controller, 4 if a listen address is unavailable and 5
    after any other error.
    """
    settings = loader.read_settings(config)
    if isinstance(settings, list):
        for mistake in settings:
            click.echo(f"{config}: {mistake}", err=True)
        sys.exit(exits.ExitCode.BAD_SETTINGS)
    logs.configure_logs(
        settings.logging.level.value,
        settings.vm.name,
        settings.vm.availability_zone,
    )
    sys.exit(run(settings))


def run(settings: model.Settings) -> exits.ExitCode:
    """Run a daemon and return its exit code."""
    try:
        anyio.run(process.run_daemon, settings)
    except Exception as error:
        return report_error(error)
    return exits.ExitCode.PLANNED_STOP


def report_error(error: BaseException) -> exits.ExitCode:
    """Log an error unless it was logged before, and return the exit code."""
    if find_error(error, process.ControllerFailedError):
        return exits.ExitCode.CONTROLLER_FAILED
    if find_error(error, process.AddressUnavailableError):
        return exits.ExitCode.ADDRESS_UNAVAILABLE
    LOG.critical(
        "daemon failed with an unexpected error",
        exc_info=error,
        extra={"event": "daemon_failed"},
    )
    return exits.ExitCode.INTERNAL_ERROR


def find_error(
    error: BaseException, error_type: type[BaseException]
) -> BaseException | None:
    """Return the first error of a type, searching exception groups too."""
    if isinstance(error, error_type):
        return error
    if not isinstance(error, BaseExceptionGroup):
        return None
    found = (find_error(item, error_type) for item in error.exceptions)
    return next((item for item in found if item is not None), None)
