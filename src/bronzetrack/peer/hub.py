"""Sessions between daemons.

Each daemon opens one stream to each peer and sends on it only; it receives
on the streams that its peers open. Neither side has to agree on which of two
streams to keep.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs

from bronzetrack.core import blackboard
from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.core import messages
from bronzetrack.membership import messages as membership_messages
from bronzetrack.settings import model
from bronzetrack.wire import frames
from bronzetrack.wire import tagged

if TYPE_CHECKING:
    from anyio import abc

LOG = logging.getLogger(__name__)
QUEUE_MESSAGES = 1_024
GREETING_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 2.0

CODEC = tagged.TaggedCodec(messages.MESSAGES, failures.Reason.PEER_PROTOCOL)


@attrs.define
class Session:
    """An open stream towards a peer."""

    vm: str
    address: str
    queue: blackboard.Mailbox[Any]


class PeerHub:
    """Sends messages to peers and delivers those that arrive.

    :param greeting: what this VM says of itself
    :param deliver: takes each message that arrived
    """

    def __init__(
        self,
        greeting: membership_messages.Hello,
        deliver: Callable[[messages.Delivery], None],
    ) -> None:
        self._greeting = greeting
        self._deliver = deliver
        self._sessions: dict[str, Session] = {}

    def send(self, vm: str, message: Any) -> bool:
        """Queue a message; return False if it cannot reach the VM now."""
        if vm == self._greeting.vm:
            self._deliver(messages.Delivery(vm, message))
            return True
        session = self._sessions.get(vm)
        return session is not None and session.queue.post(message)

    def list_sessions(self) -> dict[str, str]:
        """Return the address of each VM that a stream is open to."""
        return {vm: item.address for vm, item in self._sessions.items()}

    async def serve(self, stream: abc.ByteStream) -> None:
        """Receive on a stream that a peer opened until it ends."""
        async with stream:
            try:
                await self._receive(stream)
            except (anyio.IncompleteRead, anyio.BrokenResourceError):
                return
            except (anyio.ClosedResourceError, TimeoutError):
                return
            except errors.FailureError as error:
                LOG.warning(
                    "peer disconnected for a protocol error",
                    extra={
                        "event": "peer_protocol_error",
                        "detail": str(error),
                    },
                )

    async def _receive(self, stream: abc.ByteStream) -> None:
        reader = frames.FrameReader(stream)
        with anyio.fail_after(GREETING_TIMEOUT_S):
            hello = await self._read_hello(reader)
            await self._write(stream, [self._greeting])
        self._deliver(messages.Delivery(hello.vm, hello))
        while True:
            message = _decode(await reader.read_frame())
            self._deliver(messages.Delivery(hello.vm, message))

    async def connect(self, address: str) -> None:
        """Open a stream to an address and send on it until it breaks."""
        try:
            host, _, port = model.parse_address(address).rpartition(":")
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host.strip("[]"), int(port))
        # The address is that of a list or of a peer and may be malformed.
        except (OSError, TimeoutError, ValueError):
            return
        async with stream:
            try:
                await self._run_session(stream, address)
            except (anyio.IncompleteRead, anyio.BrokenResourceError):
                return
            except (anyio.ClosedResourceError, TimeoutError):
                return
            except errors.FailureError as error:
                LOG.warning(
                    "greeting of a peer was refused",
                    extra={
                        "event": "peer_protocol_error",
                        "detail": str(error),
                    },
                )

    async def _run_session(self, stream: abc.ByteStream, address: str) -> None:
        reader = frames.FrameReader(stream)
        with anyio.fail_after(GREETING_TIMEOUT_S):
            await self._write(stream, [self._greeting])
            hello = await self._read_hello(reader)
        if hello.vm == self._greeting.vm or hello.vm in self._sessions:
            return
        queue: blackboard.Mailbox[Any] = blackboard.Mailbox(
            hello.vm, QUEUE_MESSAGES
        )
        self._sessions[hello.vm] = Session(hello.vm, address, queue)
        self._deliver(messages.Delivery(hello.vm, hello))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_watch_close, stream, group.cancel_scope)
                while True:
                    await queue.wait_items()
                    await self._write(stream, queue.take())
        finally:
            del self._sessions[hello.vm]
            closed = membership_messages.SessionClosed(hello.vm)
            self._deliver(messages.Delivery(hello.vm, closed))

    async def _read_hello(
        self, reader: frames.FrameReader
    ) -> membership_messages.Hello:
        hello = _decode(await reader.read_frame())
        if not isinstance(hello, membership_messages.Hello):
            raise _make_error(f"expected hello, got {type(hello).__name__}")
        if hello.version != membership_messages.PROTOCOL_VERSION:
            raise _make_error(f"protocol version {hello.version}")
        return hello

    async def _write(self, stream: abc.ByteStream, items: list[Any]) -> None:
        await stream.send(
            b"".join(frames.encode_frame(CODEC.encode(item)) for item in items)
        )


async def _watch_close(
    stream: abc.ByteStream, scope: anyio.CancelScope
) -> None:
    """Cancel a scope when the peer closes a stream it never writes to."""
    try:
        await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    scope.cancel()


def _decode(data: bytes) -> Any:
    message = CODEC.decode(data)
    if isinstance(message, failures.Failure):
        raise errors.FailureError(message)
    return message


def _make_error(detail: str) -> errors.FailureError:
    return errors.FailureError(
        failures.Failure(failures.Reason.PEER_PROTOCOL, detail)
    )
