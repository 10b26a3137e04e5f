"""Which deployments have admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.entry import switches

if TYPE_CHECKING:
    from bronzetrack.entry import routes


def applies(
    mode: switches.Mode, configuration: routes.Configuration | None
) -> bool:
    """Return whether admission control applies to all services.

    Without a setting, it applies where one of the services has small engines.
    """
    if configuration is None or mode is switches.Mode.OFF:
        return False
    return mode is switches.Mode.ON or any(
        map(switches.has_small_engines, configuration.services.values())
    )
