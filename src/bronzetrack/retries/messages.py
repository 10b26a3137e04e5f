"""Peer messages about requests that may crash endpoints."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import messages
from bronzetrack.retries import records


@messages.MESSAGES.register("suspect_notice")
@attrs.frozen
class SuspectNotice:
    """A record that will be in the log, for when that is slow or down."""

    mailbox: ClassVar[str] = "suspects"

    crash: records.CrashRecord | None = None
    clearance: records.ClearanceRecord | None = None
