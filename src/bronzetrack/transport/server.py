"""Listening sockets for connections from callers.

uvicorn is not used here: it does not limit the time in which a request head
must arrive, and together with httpcore it took most of the 325 us of processor
time for each relayed chunk.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket
from typing import Any

import attrs

from bronzetrack.core import logevents
from bronzetrack.entry import routes
from bronzetrack.transport import account as accounts
from bronzetrack.transport import callers
from bronzetrack.transport import exchanges
from bronzetrack.transport import loglines
from bronzetrack.transport import yielding

LOG = logging.getLogger(__name__)
READ_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
# Connections accepted in one pass of the loop. asyncio accepts as many as its
# backlog says before it tells of the first, whatever the limit.
MAX_ACCEPTED = 16
# The same as a share of the room. Connections whose requests are still to be
# read must not give way to those that are accepted meanwhile.
ACCEPTED_SHARE = 1 / 8


@attrs.define(eq=False)
class Listener:
    """Server of one listening address and its connections.

    :param serve: handler of one request
    :param read_clock: returns the time in seconds
    :param limits: limits of callers' requests; replaced when the configuration
        changes
    :param closing: whether each connection is closed after its next response
    :param stopped: whether the listener no longer accepts connections
    :param resting: connections that may give way to new ones
    :param by_address: number of connections by IP address of the caller
    :param account: memory of the callers of all listeners
    :param max_connections: number of open connections
    :param read_buffer: buffer into which all connections are read; what it
        has is parsed before the next read
    """

    serve: Callable[[exchanges.Exchange], Awaitable[None]]
    read_clock: Callable[[], float]
    limits: routes.Limits = attrs.field(factory=routes.Limits)
    closing: bool = False
    stopped: bool = False
    connections: set[callers.CallerConnection] = attrs.field(factory=set)
    resting: yielding.RestingConnections[callers.CallerConnection] = (
        attrs.field(factory=yielding.RestingConnections)
    )
    by_address: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    server: Any = None
    account: accounts.Account = attrs.field(
        factory=lambda: accounts.Account(accounts.Machine().account_bytes)
    )
    max_connections: int = accounts.Machine().caller_connections
    read_buffer: bytearray = attrs.field(
        factory=lambda: bytearray(READ_BYTES), repr=False
    )

    async def open(self, address: str) -> None:
        """Listen on an address given as HOST:PORT."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: callers.CallerConnection(self),
            host,
            int(port),
            backlog=min(
                MAX_ACCEPTED,
                max(1, int(ACCEPTED_SHARE * self.max_connections)),
            ),
        )
        for item in self.server.sockets:
            with socket.fromfd(item.fileno(), item.family, item.type) as copy:
                copy.listen(LISTEN_BACKLOG)

    def stop_listening(self) -> None:
        """Accept no new connections and close idle ones."""
        if self.server is not None:
            self.server.close()
        self.closing = True
        self.stopped = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress.

        A response that is not completely sent counts as in progress.
        """
        return sum(
            1
            for item in self.connections
            if item.is_busy() or item.has_unsent()
        )

    def close_expired(self, now: float) -> None:
        """Close connections that exceed the idle or the header timeout."""
        for connection in list(self.connections):
            connection.close_if_expired(now)
        self.relieve(now)
        self._log_ended()

    def _log_ended(self) -> None:
        """Log in one line who gave way since the last line."""
        reasons = self.account.take_ended()
        if reasons:
            logevents.log(
                LOG,
                loglines.ClientsGaveWay(
                    {reason.value: count for reason, count in reasons.items()},
                    self.account.used,
                    self.account.connections,
                ),
            )

    def relieve(self, now: float) -> None:
        """Let callers give way if others wait or the account is full."""
        account = self.account
        for reader, status, reason in accounts.choose_refused_bodies(
            account, now
        ):
            reader.give_way(status, reason)
        for reader, reason in accounts.choose_shed(account, now):
            reader.give_way(503, reason)
        self.grant_waiting(now)

    def grant_waiting(self, now: float) -> None:
        """Continue reading the bodies for which there is memory."""
        if not self.account.waiting:
            return
        loop = asyncio.get_running_loop()
        for reader in self.account.grant_waiting(now):
            loop.call_soon(reader.continue_reading)

    def admit_connection(self, address: str) -> bool:
        """Make room for a new connection.

        :param address: IP address of the caller
        :returns: whether there is room
        """
        if len(self.connections) < self.max_connections:
            return True
        is_greedy = yielding.is_over_share(
            self.by_address[address],
            self.max_connections,
            len(self.by_address),
        )
        found = self.resting.choose(
            address if is_greedy else None, self.read_clock()
        )
        if found is not None:
            found.give_way(503, accounts.Reason.IDLE)
        return found is not None
