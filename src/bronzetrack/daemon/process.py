"""Assembly of a daemon from its controllers, listeners and clients."""

from __future__ import annotations

import importlib
import logging
import pkgutil
import socket
from typing import TYPE_CHECKING
import uuid

import anyio

from bronzetrack import board as boards
from bronzetrack import controllers as controller_package
from bronzetrack.core import clock
from bronzetrack.core import controllers
from bronzetrack.core import errors
from bronzetrack.daemon import servers
from bronzetrack.endpoints import client as endpoint_client
from bronzetrack.http import callers
from bronzetrack.http import operators
from bronzetrack.logservice import logservice
from bronzetrack.logservice import vmlist
from bronzetrack.membership import messages as membership_messages
from bronzetrack.peer import hub as peer_hub
from bronzetrack.settings import model
from bronzetrack.wire import httpclient

if TYPE_CHECKING:
    from anyio import abc

LOG = logging.getLogger(__name__)
ENDPOINT_CONNECTIONS = 1_024
PLATFORM_CONNECTIONS = 32


class ControllerFailedError(errors.BronzetrackError):
    """A controller ended; the failure has already been logged."""


class AddressUnavailableError(errors.BronzetrackError):
    """A listen address is unavailable; this has already been logged."""


def import_controllers() -> None:
    """Import all controller modules, which registers the controllers."""
    for module in pkgutil.iter_modules(controller_package.__path__):
        importlib.import_module(f"{controller_package.__name__}.{module.name}")


def make_board(settings: model.Settings) -> boards.Blackboard:
    """Return a blackboard with a new incarnation."""
    return boards.Blackboard(settings=settings, incarnation=uuid.uuid4().hex)


def make_ports(board: boards.Blackboard) -> controllers.Ports:
    """Return the clients and the peer hub that the controllers use."""
    settings = board.settings
    hello = membership_messages.Hello(
        version=membership_messages.PROTOCOL_VERSION,
        vm=settings.vm.name,
        incarnation=board.incarnation,
        availability_zone=settings.vm.availability_zone,
        peer_address=settings.peers.address or settings.listen.peers,
        caller_address=settings.listen.callers,
        operator_address=settings.listen.operators,
        reads_changes=True,
    )

    platform_pool = httpclient.make_pool(PLATFORM_CONNECTIONS)
    return controllers.Ports(
        log=logservice.LogClient(settings.platform.log_url, platform_pool),
        vms=vmlist.VmListClient(settings.platform.vm_list_url, platform_pool),
        peers=peer_hub.PeerHub(hello, board.deliver),
        endpoints=endpoint_client.EndpointClient(
            httpclient.make_pool(ENDPOINT_CONNECTIONS),
            settings.limits.stream_silence_ms,
        ),
    )


async def run_daemon(settings: model.Settings) -> None:
    """Run a daemon until its planned stop is complete.

    :raises AddressUnavailableError: a listen address is unavailable; nothing
        was started
    :raises ControllerFailedError: a controller ended; raised within an
        exception group
    """
    import_controllers()
    board = make_board(settings)
    ports = make_ports(board)
    callers_server = servers.make_server(
        callers.CallersApplication(board, clock.read_clock).build()
    )
    operators_server = servers.make_server(
        operators.OperatorsApplication(board, clock.read_clock).build()
    )
    callers_socket = _listen(settings.listen.callers)
    operators_socket = _listen(settings.listen.operators)
    peers_listener = await _listen_peers(settings.listen.peers)
    LOG.info(
        "listening",
        extra={
            "event": "listening",
            "incarnation": board.incarnation,
            "callers": settings.listen.callers,
            "operators": settings.listen.operators,
            "peers": settings.listen.peers,
        },
    )
    async with anyio.create_task_group() as group:
        for name, controller in controllers.CONTROLLERS.items():
            instance = controller(board, ports, clock.read_clock)
            group.start_soon(_run_controller, name, instance)
        group.start_soon(peers_listener.serve, ports.peers.serve)
        group.start_soon(operators_server.serve, [operators_socket])
        await _serve_callers(board, callers_server, callers_socket)
        group.cancel_scope.cancel()
    LOG.info("stopped", extra={"event": "stopped"})


async def _run_controller(
    name: str, controller: controllers.Controller
) -> None:
    """Run a controller and end the whole process when it ends.

    A daemon without one of its controllers would still hold its lease and
    accept requests that it never completes.
    """
    try:
        await controller.run()
    except Exception as error:
        LOG.critical(
            "controller failed",
            exc_info=error,
            extra={"event": "controller_failed", "controller": name},
        )
        raise ControllerFailedError(name) from error
    LOG.critical(
        "controller returned unexpectedly",
        extra={"event": "controller_failed", "controller": name},
    )
    raise ControllerFailedError(name)


async def _serve_callers(
    board: boards.Blackboard,
    server: servers.EmbeddedServer,
    listener: socket.socket,
) -> None:
    """Serve callers until a planned stop allows the process to exit."""
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, [listener])
        while not board.lifecycle.value.finished:
            await board.lifecycle.wait_change(board.lifecycle.revision)
        server.should_exit = True


def _listen(address: str) -> socket.socket:
    """Return a socket that listens on an address.

    :raises AddressUnavailableError: the address is unavailable
    """
    try:
        return servers.open_socket(address)
    except OSError as error:
        raise _log_listen_failure(address, error) from error


async def _listen_peers(address: str) -> abc.Listener[abc.SocketStream]:
    """Return a listener for the connections of peers.

    :raises AddressUnavailableError: the address is unavailable
    """
    host, port = servers.split_address(address)
    try:
        return await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
    except OSError as error:
        raise _log_listen_failure(address, error) from error


def _log_listen_failure(
    address: str, error: OSError
) -> AddressUnavailableError:
    """Log why an address is unavailable and return the error to raise."""
    LOG.critical(
        "cannot listen on address",
        extra={
            "event": "listen_failed",
            "address": address,
            "detail": error.strerror,
        },
    )
    return AddressUnavailableError(address)
