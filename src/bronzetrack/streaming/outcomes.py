"""How a request can end."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """The outcome of a request, as callers see it.

    REFUSED says that this attempt did nothing; NOT_RUN that the key never
    ran and never will; UNKNOWN that it was dispatched with no known result.
    """

    COMPLETED = "completed"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    FAILED = "failed"
