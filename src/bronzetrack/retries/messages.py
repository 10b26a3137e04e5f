"""Peer messages about requests that may crash endpoints."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import messages
from bronzetrack.retries import records


@messages.MESSAGES.register("suspect_notice")
@attrs.frozen
class SuspectNotice:
    """A crash or clearance record, sent to peers before it is in the log.

    The notice reaches the peers even while the log is slow or unavailable.
    """

    mailbox: ClassVar[str] = "suspects"

    crash: records.CrashRecord | None = None
    clearance: records.ClearanceRecord | None = None
