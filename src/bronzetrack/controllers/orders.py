"""Orders to endpoints, and polling of the load reports of engines."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
from typing import TYPE_CHECKING

import anyio

from bronzetrack.configuration import inventory as inventories
from bronzetrack.core import failures
from bronzetrack.dispatch import events

if TYPE_CHECKING:
    from anyio import abc

    from bronzetrack import board as boards
    from bronzetrack.core import controllers

LOG = logging.getLogger(__name__)
REPORT_INTERVAL_MS = 1_000

OrderSender = Callable[
    [inventories.Endpoint, str, int], Awaitable[failures.Failure | None]
]
EventMaker = Callable[
    [failures.Failure | None],
    events.LoadEnded | events.UnloadEnded | events.FenceEnded,
]


class EndpointOrders:
    """Sends orders to endpoints and posts their results to `runs`."""

    def __init__(
        self,
        board: boards.Blackboard,
        ports: controllers.Ports,
        group: abc.TaskGroup,
    ) -> None:
        self._board = board
        self._ports = ports
        self._group = group

    def load(
        self, name: str, endpoint: inventories.Endpoint, adapter: str
    ) -> None:
        """Order an endpoint to load an adapter version."""
        self._send(
            self._ports.endpoints.load_adapter,
            functools.partial(events.LoadEnded, name, adapter),
            name,
            endpoint,
            adapter,
        )

    def unload(
        self, name: str, endpoint: inventories.Endpoint, adapter: str
    ) -> None:
        """Order an endpoint to unload an adapter version."""
        self._send(
            self._ports.endpoints.unload_adapter,
            functools.partial(events.UnloadEnded, name, adapter),
            name,
            endpoint,
            adapter,
        )

    def fence(
        self, name: str, endpoint: inventories.Endpoint, adapter: str
    ) -> None:
        """Send the fencing token to an engine.

        The order repeats the load of an adapter version that is already
        loaded.
        """
        self._send(
            self._ports.endpoints.load_adapter,
            functools.partial(events.FenceEnded, name),
            name,
            endpoint,
            adapter,
        )

    def _send(
        self,
        send: OrderSender,
        make_event: EventMaker,
        name: str,
        endpoint: inventories.Endpoint,
        adapter: str,
    ) -> None:
        owner = self._board.ownership.value.owners.get(name)
        fencing = 0 if owner is None else owner.fencing
        self._group.start_soon(
            self._execute_order, send, make_event, endpoint, adapter, fencing
        )

    async def _execute_order(
        self,
        send: OrderSender,
        make_event: EventMaker,
        endpoint: inventories.Endpoint,
        adapter: str,
        fencing: int,
    ) -> None:
        failure = await send(endpoint, adapter, fencing)
        if failure is not None:
            LOG.warning(
                "order to an endpoint failed",
                extra={
                    "event": "order_failed",
                    "adapter": adapter,
                    "reason": failure.reason.value,
                    "detail": failure.detail,
                },
            )
        self._board.mailboxes["runs"].post(make_event(failure))

    async def poll_reports(self) -> None:
        """Poll the load reports of all owned engines."""
        while True:
            async with anyio.create_task_group() as group:
                for name in self._board.dispatch.value.endpoints:
                    group.start_soon(self.read_report, name)
            await anyio.sleep(REPORT_INTERVAL_MS / 1000)

    async def read_report(self, name: str) -> None:
        """Read the load report of an endpoint if it is an engine."""
        inventory = self._board.configuration.value.configuration.inventory
        endpoint = inventory.endpoints.get(name)
        if endpoint is None:
            return
        if not endpoint.is_engine:
            return
        report = await self._ports.endpoints.read_report(endpoint)
        self._board.mailboxes["runs"].post(
            events.ReportReadEnded(name, report)
        )
