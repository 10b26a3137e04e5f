"""Tests of sends to endpoints."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from bronzetrack.entry import endpoints
from bronzetrack.entry import progress as progresses
from bronzetrack.entry import sending

pytestmark = pytest.mark.anyio


@attrs.define
class SlowPool:
    """Pool whose endpoint says that it leaves while a connection opens.

    :param on_connect: called before the connection is open
    :param discarded: connections that were closed
    """

    on_connect: Callable[[], None]
    address: str = "127.0.0.1:1"
    response_limits: object = None
    discarded: list[object] = attrs.field(factory=list)

    def take_idle(self, now, excluded):
        """Return no connection."""

    async def connect(self):
        """Return a connection that nothing may be sent on."""
        self.on_connect()
        return object()

    def discard(self, connection):
        """Record that a connection was closed."""
        self.discarded.append(connection)


async def test_endpoint_that_leaves_gets_a_request_that_waited_for_it(
    board, make_endpoint, make_request, now
):
    """Guards against requests that wait for a connection to open."""
    endpoint = make_endpoint("e")
    evidence = endpoints.Evidence(endpoints.Source.PEER)

    def leave():
        endpoint.departure = endpoints.Departure(now, evidence)

    sender = sending.Sender(board, lambda: now)
    pool = sender._pools["e"] = SlowPool(leave)
    progress = progresses.Progress("s")
    assert await sender.send(None, make_request(), progress, endpoint) is None
    assert progress.sends == 0
    assert len(pool.discarded) == 1
    assert not progress.unreachable
