"""Registry of the messages between daemons."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import failures
from bronzetrack.core import registry

# Reasons for which a message is never sent: no frame can hold it, whatever
# becomes of the session and its queue.
UNSENDABLE = frozenset(
    {failures.Reason.FRAME_TOO_LARGE, failures.Reason.PEER_PROTOCOL}
)

MESSAGES: registry.Registry[type] = registry.Registry("peer messages")


@attrs.frozen
class Delivery:
    """A message that arrived, with the VM that sent it.

    Each message class names the mailbox of the blackboard that takes it in
    its class attribute `mailbox`.
    """

    sender: str
    message: Any
