"""Registry and base class of the controllers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import ClassVar
from typing import TYPE_CHECKING

import attrs

from bronzetrack.core import registry

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import clock
    from bronzetrack.endpoints import client as endpoint_client
    from bronzetrack.logservice import logservice
    from bronzetrack.logservice import vmlist
    from bronzetrack.peer import hub as peer_hub


@attrs.frozen
class Ports:
    """The edges that controllers carry out effects through."""

    log: logservice.LogClient
    vms: vmlist.VmListClient
    peers: peer_hub.PeerHub
    endpoints: endpoint_client.EndpointClient


class BaseController:
    """Reads sections of a blackboard and writes its own.

    :param board: the state of this process
    :param ports: the edges
    :param read_clock: reads the present time
    """

    name: ClassVar[str]

    def __init__(
        self,
        board: Any,
        ports: Any,
        read_clock: Callable[[], Any],
    ) -> None:
        self.board = board
        self.ports = ports
        self.read_clock = read_clock

    async def run(self) -> None:
        """Run until cancelled."""
        raise NotImplementedError

    def write(self, section: Any, value: Any) -> None:
        """Write a section as this controller."""
        section.write(self.name, value)


class Controller(BaseController):
    """A controller of the daemon with the project's own interface."""

    board: boards.Blackboard
    ports: Ports
    read_clock: Callable[[], clock.Instant]


CONTROLLERS: registry.Registry[type[Controller]] = registry.Registry(
    "controllers"
)
