"""Registry of the messages between daemons."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import failures
from bronzetrack.core import registry

# Failures with these reasons are permanent: no frame can hold the message,
# whatever the state of the session and its queue.
UNSENDABLE = frozenset(
    {failures.Reason.FRAME_TOO_LARGE, failures.Reason.PEER_PROTOCOL}
)

MESSAGES: registry.Registry[type] = registry.Registry("peer messages")


@attrs.frozen
class Delivery:
    """A received message and the VM that sent it.

    Each message class names the mailbox that receives its messages in the
    class attribute `mailbox`.
    """

    sender: str
    message: Any
