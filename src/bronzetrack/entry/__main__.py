"""Command-line entry point of an entry VM."""

from __future__ import annotations

import os
import pathlib
import sys

import anyio

from bronzetrack.daemon import logs
from bronzetrack.entry import loglines
from bronzetrack.entry import process
from bronzetrack.entry import settings as entry_settings

SETTINGS_VARIABLE = "BRONZETRACK_SETTINGS"
BAD_SETTINGS = 2


def main() -> None:
    """Run an entry VM.

    The environment variable `BRONZETRACK_SETTINGS` holds the path of the
    settings file. The process exits with status 2 if the settings are invalid.
    """
    file = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = entry_settings.load_settings(file)
    except entry_settings.SettingsError as error:
        print(f"{file}: {error}", file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    output = loglines.BoundedStream(sys.stdout.fileno())
    logs.configure_logs("info", settings.vm, settings.zone, output)
    loglines.bound_root_logger()
    anyio.run(process.run_entry, settings, file)


if __name__ == "__main__":
    main()
