"""Log events of callers' connections."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register(
    "clients_gave_way",
    "callers were refused or disconnected to stay within the machine",
    logging.WARNING,
)
@attrs.frozen
class ClientsGaveWay(logevents.LogEvent):
    """Callers that gave way since the last such line.

    :param reasons: number of callers by reason
    :param used_bytes: memory that callers occupy
    :param connections: open connections of callers
    """

    reasons: dict[str, int]
    used_bytes: int
    connections: int
