"""Assembly of a daemon from its controllers and edges."""

from __future__ import annotations

import importlib
import logging
import pkgutil
import uuid

import anyio

from bronzetrack import board as boards
from bronzetrack import controllers as controller_package
from bronzetrack.core import clock
from bronzetrack.core import controllers
from bronzetrack.core import messages
from bronzetrack.daemon import servers
from bronzetrack.endpoints import client as endpoint_client
from bronzetrack.http import callers
from bronzetrack.http import operators
from bronzetrack.membership import messages as membership_messages
from bronzetrack.peer import hub as peer_hub
from bronzetrack.platform import logservice
from bronzetrack.platform import vmlist
from bronzetrack.settings import model
from bronzetrack.wire import httpclient

LOG = logging.getLogger(__name__)
ENDPOINT_CONNECTIONS = 1_024
PLATFORM_CONNECTIONS = 32


def import_controllers() -> None:
    """Import every controller module, so that each is registered."""
    for module in pkgutil.iter_modules(controller_package.__path__):
        importlib.import_module(f"{controller_package.__name__}.{module.name}")


def make_board(settings: model.Settings) -> boards.Blackboard:
    """Return the blackboard of a new run."""
    return boards.Blackboard(settings=settings, incarnation=uuid.uuid4().hex)


def make_ports(board: boards.Blackboard) -> controllers.Ports:
    """Return the edges of a daemon."""
    settings = board.settings
    greeting = membership_messages.Hello(
        version=membership_messages.PROTOCOL_VERSION,
        vm=settings.vm.name,
        incarnation=board.incarnation,
        availability_zone=settings.vm.availability_zone,
        peer_address=settings.listen.peers,
        caller_address=settings.listen.callers,
        operator_address=settings.listen.operators,
    )

    def deliver(delivery: messages.Delivery) -> None:
        if not board.deliver(delivery):
            LOG.error(
                "mailbox is full",
                extra={
                    "event": "mailbox_full",
                    "mailbox": delivery.message.mailbox,
                },
            )

    platform_pool = httpclient.make_pool(PLATFORM_CONNECTIONS)
    return controllers.Ports(
        log=logservice.LogClient(settings.platform.log_url, platform_pool),
        vms=vmlist.VmListClient(settings.platform.vm_list_url, platform_pool),
        peers=peer_hub.PeerHub(greeting, deliver),
        endpoints=endpoint_client.EndpointClient(
            httpclient.make_pool(ENDPOINT_CONNECTIONS)
        ),
    )


async def run_daemon(settings: model.Settings) -> None:
    """Run a daemon until its planned stop has ended."""
    import_controllers()
    board = make_board(settings)
    ports = make_ports(board)
    callers_server = servers.make_server(
        callers.CallersApplication(board, clock.read_clock).build(),
        settings.listen.callers,
    )
    operators_server = servers.make_server(
        operators.OperatorsApplication(board, clock.read_clock).build(),
        settings.listen.operators,
    )
    async with anyio.create_task_group() as group:
        for _, controller in controllers.CONTROLLERS.items():
            group.start_soon(controller(board, ports, clock.read_clock).run)
        group.start_soon(_listen_peers, settings.listen.peers, ports.peers)
        group.start_soon(operators_server.serve)
        await _serve_callers(board, callers_server)
        group.cancel_scope.cancel()
    LOG.info("stopped", extra={"event": "stopped"})


async def _serve_callers(
    board: boards.Blackboard, server: servers.QuietServer
) -> None:
    """Serve callers until the planned stop may end the process."""
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not board.lifecycle.value.finished:
            await board.lifecycle.wait_change(board.lifecycle.revision)
        server.should_exit = True


async def _listen_peers(address: str, hub: peer_hub.PeerHub) -> None:
    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host.strip("[]"), local_port=int(port)
    )
    await listener.serve(hub.serve)
