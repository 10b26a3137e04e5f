"""Registry and base class of the controllers of an entry VM."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from bronzetrack.core import controllers
from bronzetrack.core import registry

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry import settings as entry_settings
    from bronzetrack.platform import orders
    from bronzetrack.platform import store as stores


@attrs.frozen
class Ports:
    """Interfaces through which controllers act on the outside.

    :param engine_client: client for orders to engines
    :param read_settings: reads the settings file; raises `SettingsError` if
        the file is invalid
    """

    store: stores.Store
    engine_client: orders.EngineClient
    read_settings: Callable[[], entry_settings.Settings]


class Controller(controllers.BaseController):
    """Base class of the controllers of an entry VM.

    :param read_clock: returns the current time in seconds
    """

    board: boards.Blackboard
    ports: Ports
    read_clock: Callable[[], float]


CONTROLLERS: registry.Registry[type[Controller]] = registry.Registry(
    "entry controllers"
)
