"""Exit codes of the daemon."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """How a daemon ended; docs/OPERATIONS.md says what to do about each.

    A daemon that ends by itself is meant to be started again, except after
    PLANNED_STOP and BAD_SETTINGS.
    """

    PLANNED_STOP = 0
    BAD_SETTINGS = 2
    CONTROLLER_FAILED = 3
    ADDRESS_UNAVAILABLE = 4
    INTERNAL_ERROR = 5
