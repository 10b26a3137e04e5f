"""Which services are routed by cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.entry import switches

if TYPE_CHECKING:
    from bronzetrack.entry import routes


def applies(mode: switches.Mode, service: routes.Service | None) -> bool:
    """Return whether the requests to a service are routed by cost."""
    if service is None or mode is switches.Mode.OFF:
        return False
    return mode is switches.Mode.ON or switches.has_small_engines(service)
