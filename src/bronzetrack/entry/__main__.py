"""Command line of an entry VM."""

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
    """Run an entry VM with the settings file that the environment names."""
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
