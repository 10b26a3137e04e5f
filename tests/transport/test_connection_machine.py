"""Stateful test of connections, their receivers and their pool."""

from __future__ import annotations

import attrs
from hypothesis import stateful
from hypothesis import strategies
from transport import transports

from bronzetrack.transport import connections

BODY = b"0123456789"
STEP_S = 0.5


@attrs.define(eq=False)
class Receiver:
    """Receiver of one response, which may hold the reading back.

    :param request_id: id of the request
    :param connection: connection that the request was sent on
    :param is_slow: whether each part of the body fills the caller's buffer
    :param rest: bytes of the response that have not arrived
    :param wants_pause: whether it has paused the reading
    """

    request_id: bytes
    connection: connections.Connection
    is_slow: bool
    rest: bytes = b""
    wants_pause: bool = False
    end: connections.ResponseEnd | None = None

    def on_head(self, head: object) -> None:
        """Receive the head."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        if self.is_slow:
            self.wants_pause = True
            self.connection.pause(self)

    def on_end(self, end: connections.ResponseEnd) -> None:
        """Receive the end."""
        self.end = end


class ConnectionMachine(stateful.RuleBasedStateMachine):
    """Sends requests, and pauses, ends, cancels and resets their responses.

    Receivers of responses that have ended go on asking for pauses, as callers
    do whose buffers fill late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.pool = connections.Pool("h:1")
        self.receivers: list[Receiver] = []
        self.number = 0

    def list_active(self) -> list[Receiver]:
        """Return the receivers whose requests are in progress."""
        return [
            item for item in self.receivers if item.connection.receiver is item
        ]

    @stateful.rule(is_slow=strategies.booleans())
    def send(self, is_slow: bool) -> None:
        """Send a request on a connection of the pool, or on a new one."""
        connection = self.pool.take_idle(self.now)
        if connection is None:
            connection = connections.Connection()
            connection.connection_made(transports.Transport())
        self.number += 1
        request_id = b"r%d" % self.number
        receiver = Receiver(request_id, connection, is_slow)
        receiver.rest = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Request-Id: %b\r\n"
            b"\r\n%b" % (len(BODY), receiver.request_id, BODY)
        )
        connection.send(b"request", receiver, receiver.request_id, False)
        self.receivers.append(receiver)

    @stateful.precondition(lambda self: self.list_active())
    @stateful.rule(data=strategies.data(), size=strategies.integers(1, 120))
    def receive(self, data: strategies.DataObject, size: int) -> None:
        """Let bytes of a response arrive, unless its reading is paused."""
        receiver = data.draw(strategies.sampled_from(self.list_active()))
        connection = receiver.connection
        if not connection.transport.reading:
            return
        part, receiver.rest = receiver.rest[:size], receiver.rest[size:]
        connection.data_received(part)
        if receiver.end is connections.ResponseEnd.COMPLETE:
            self.pool.put_back(connection, self.now)

    @stateful.precondition(lambda self: self.receivers)
    @stateful.rule(data=strategies.data(), paused=strategies.booleans())
    def control_flow(self, data: strategies.DataObject, paused: bool) -> None:
        """Let the caller of any request, also of an old one, be slow."""
        receiver = data.draw(strategies.sampled_from(self.receivers))
        receiver.wants_pause = paused
        if paused:
            receiver.connection.pause(receiver)
        else:
            receiver.connection.resume(receiver)

    @stateful.precondition(lambda self: self.list_active())
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        """Give a request up."""
        receiver = data.draw(strategies.sampled_from(self.list_active()))
        self.pool.discard(receiver.connection)

    @stateful.precondition(lambda self: self.receivers)
    @stateful.rule(data=strategies.data(), cleanly=strategies.booleans())
    def close(self, data: strategies.DataObject, cleanly: bool) -> None:
        """Let the endpoint close a connection, also an idle one."""
        receiver = data.draw(strategies.sampled_from(self.receivers))
        connection = receiver.connection
        if connection.closed:
            return
        if cleanly:
            connection.eof_received()
        connection.transport.closing = True
        connection.connection_lost(None if cleanly else ConnectionError())

    @stateful.rule()
    def wait(self) -> None:
        """Let time pass."""
        self.now += STEP_S

    @stateful.invariant()
    def check_pool(self) -> None:
        """A connection in the pool reads, and has no receiver."""
        for connection in self.pool.idle:
            assert connection.transport.reading
            assert connection.receiver is None

    @stateful.invariant()
    def check_active(self) -> None:
        """Only the receiver of a response holds its reading back."""
        for receiver in self.list_active():
            reading = receiver.connection.transport.reading
            assert reading or receiver.wants_pause

    @stateful.invariant()
    def check_owners(self) -> None:
        """A connection serves one request, and is not in the pool then."""
        connections_in_use = [item.connection for item in self.list_active()]
        assert len(set(map(id, connections_in_use))) == len(connections_in_use)
        assert not set(map(id, connections_in_use)) & set(
            map(id, self.pool.idle)
        )


TestConnections = ConnectionMachine.TestCase
