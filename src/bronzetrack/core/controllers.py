"""Registry and base classes of the controllers."""

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
    """The clients through which controllers perform I/O."""

    log: logservice.LogClient
    vms: vmlist.VmListClient
    peers: peer_hub.PeerHub
    endpoints: endpoint_client.EndpointClient


class BaseController:
    """Base class of controllers.

    A controller reads any section of a blackboard and writes only its own.

    :param board: the state of this process
    :param ports: the clients for I/O
    :param read_clock: returns the current time
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
        """Run the controller until its task is cancelled."""
        raise NotImplementedError

    def write(self, section: Any, value: Any) -> None:
        """Write a section under the name of this controller."""
        section.write(self.name, value)


class Controller(BaseController):
    """Base class of the controllers of a daemon, with typed attributes."""

    board: boards.Blackboard
    ports: Ports
    read_clock: Callable[[], clock.Instant]


CONTROLLERS: registry.Registry[type[Controller]] = registry.Registry(
    "controllers"
)
