"""Outcomes of requests."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """The outcome of a request, as callers see it.

    REFUSED means that this attempt did nothing, and NOT_RUN that the key
    never ran and never will run. IN_PROGRESS means that another attempt with
    the same key was dispatched. UNKNOWN means that the request was dispatched
    and its result is not known.
    """

    COMPLETED = "completed"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    FAILED = "failed"
