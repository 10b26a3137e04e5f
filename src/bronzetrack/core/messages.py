"""Registry of the messages between daemons."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import registry

MESSAGES: registry.Registry[type] = registry.Registry("peer messages")


@attrs.frozen
class Delivery:
    """A message that arrived, with the VM that sent it.

    Each message class names the mailbox of the blackboard that takes it in
    its class attribute `mailbox`.
    """

    sender: str
    message: Any
