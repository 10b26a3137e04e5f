"""Requests of one connection, which are served one after the other."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Protocol

import anyio
import attrs

from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import requests as request_events
from bronzetrack.transport import account as accounts
from bronzetrack.transport import exchanges

LOG = logging.getLogger(__name__)
# Maximum number of requests that wait behind the one being served.
MAX_PIPELINED_REQUESTS = 8
# Memory of the requests that wait behind another. More is not parsed.
MAX_QUEUED_BYTES = 64 * 1024
# Requests that are served while the caller does not read earlier answers.
MAX_ANSWERS_AHEAD = 1


class Connection(Protocol):
    """Connection whose requests are served."""

    is_closed: bool
    is_writable: bool


class Service(Protocol):
    """Handler of requests, and the account that they are charged to.

    :ivar serve: handler of one request
    :ivar read_clock: returns the time in seconds
    """

    serve: Callable[[exchanges.Exchange], Awaitable[None]]
    read_clock: Callable[[], float]
    account: accounts.Account

    def grant_waiting(self, now: float) -> None:
        """Continue reading the bodies for which there is memory."""


@attrs.define(eq=False)
class Pipeline:
    """Complete requests of a connection, in the order of their arrival.

    :param connection: connection that sends the responses
    :param listener: has the handler of requests, and the account that they
        are charged to
    :param current: request that is being served
    :param queued: requests that wait behind it
    :param queued_cost: memory of these requests, in bytes
    """

    connection: Connection
    listener: Service
    current: exchanges.Exchange | None = None
    queued: list[exchanges.Exchange] = attrs.field(factory=list)
    queued_cost: int = 0
    _answers_ahead: int = 0
    _task: asyncio.Task[None] | None = None
    _scope: anyio.CancelScope | None = None

    @property
    def is_empty(self) -> bool:
        """Whether no request is served or waits."""
        return self.current is None and not self.queued

    @property
    def is_full(self) -> bool:
        """Whether no further request should be parsed."""
        return (
            self.queued_cost > MAX_QUEUED_BYTES
            or len(self.queued) >= MAX_PIPELINED_REQUESTS
        )

    @property
    def is_overfull(self) -> bool:
        """Whether more requests wait than may."""
        return len(self.queued) > MAX_PIPELINED_REQUESTS

    def add(self, exchange: exchanges.Exchange) -> None:
        """Queue a request after those that arrived before it."""
        self.queued.append(exchange)
        self.queued_cost += exchange.cost
        self.serve_next()

    def change_writable(self, writable: bool) -> None:
        """Note whether the caller reads what is sent to it."""
        self._answers_ahead = 0
        if self.current is not None:
            self.current.change_writable(writable)
        elif writable:
            self.serve_next()

    def serve_next(self) -> None:
        """Serve the next request unless another is being served."""
        if (
            self.current is not None
            or not self.queued
            or self.connection.is_closed
            or self._answers_ahead >= MAX_ANSWERS_AHEAD
        ):
            return
        if not self.connection.is_writable:
            self._answers_ahead += 1
        self.current = self.queued.pop(0)
        self.queued_cost -= self.current.cost
        self._scope = anyio.CancelScope()
        self._task = asyncio.get_running_loop().create_task(
            self._serve(self.current, self._scope)
        )

    async def _serve(
        self, exchange: exchanges.Exchange, scope: anyio.CancelScope
    ) -> None:
        """Run the handler of a request.

        :param scope: scope that ends the request when its caller leaves. It
            stays cancelled; a cancellation of the task alone is lost if the
            deadline of a scope within the request passes at that moment.
        """
        try:
            with scope:
                await self.listener.serve(exchange)
        except Exception as error:
            # The connection is closed, which does not state whether the
            # request was executed.
            logevents.log(LOG, request_events.RequestFailed(), error)
        if not exchange.finished:
            exchange.abort()

    def end_current(self) -> None:
        """Note that the response to the current request has ended."""
        if self.current is not None:
            self._release(self.current)
        self.current = None
        self._task = None
        self._scope = None

    def cancel(self) -> None:
        """Drop all requests, as their caller has left."""
        if self._scope is not None:
            self._scope.cancel()
        for exchange in self.queued:
            self._release(exchange)
        if self.current is not None:
            self._release(self.current)
        self.queued.clear()
        self.queued_cost = 0

    def _release(self, exchange: exchanges.Exchange) -> None:
        self.listener.account.change(accounts.Holder.REQUESTS, -exchange.cost)
        exchange.cost = 0
        self.listener.grant_waiting(self.listener.read_clock())
