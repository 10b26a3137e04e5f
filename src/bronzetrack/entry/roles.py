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
    """The edges that controllers carry out effects through.

    :param read_settings: reads the settings file; raises what it cannot read
    """

    store: stores.Store
    engines: orders.Engines
    read_settings: Callable[[], entry_settings.Settings]


class Controller(controllers.BaseController):
    """A controller of an entry VM; its clock reads seconds."""

    board: boards.Blackboard
    ports: Ports
    read_clock: Callable[[], float]


CONTROLLERS: registry.Registry[type[Controller]] = registry.Registry(
    "entry controllers"
)
