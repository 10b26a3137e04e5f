"""Settings that switch a behaviour on for deployments that need it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzetrack.entry import routes

# Engines that run at most this many requests at a time count as small. On a
# larger engine, one long prompt is a small share of the work, and the number
# of requests says enough.
MAX_SMALL_CAPACITY = 16


class Mode(enum.Enum):
    """Setting of where a behaviour applies.

    AUTO applies it where engines are small.
    """

    ON = "on"
    OFF = "off"
    AUTO = "auto"


def has_small_engines(service: routes.Service) -> bool:
    """Return whether a service consists of small engines."""
    engine = service.engine
    return engine is not None and engine.capacity <= MAX_SMALL_CAPACITY
