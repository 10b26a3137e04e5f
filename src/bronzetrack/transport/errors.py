"""Errors of the HTTP edges."""

from __future__ import annotations

from bronzetrack.core import errors


class OversizedError(errors.BronzetrackError):
    """A message exceeds a size limit."""
