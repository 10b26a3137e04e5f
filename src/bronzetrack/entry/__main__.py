"""Command-line entry point of an entry VM."""

from __future__ import annotations

import os
import pathlib
import sys

from bronzetrack.core import signalmask

SETTINGS_VARIABLE = "BRONZETRACK_SETTINGS"


def main() -> None:
    """Run an entry VM.

    The environment variable `BRONZETRACK_SETTINGS` holds the path of the
    settings file. The process exits with status 2 if the settings are invalid.
    """
    signalmask.hold_signals()
    # These imports take most of the time of a start.
    from bronzetrack.entry import process

    file = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    sys.exit(process.run(file))


if __name__ == "__main__":
    main()
