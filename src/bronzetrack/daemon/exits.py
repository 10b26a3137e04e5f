"""Exit codes of the daemon."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Reason why a daemon exited; docs/OPERATIONS.md lists the remedies.

    A supervisor should restart a daemon that exits by itself, except after
    PLANNED_STOP and BAD_SETTINGS.
    """

    PLANNED_STOP = 0
    BAD_SETTINGS = 2
    CONTROLLER_FAILED = 3
    ADDRESS_UNAVAILABLE = 4
    INTERNAL_ERROR = 5
