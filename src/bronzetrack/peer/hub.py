"""Sessions between daemons.

Each daemon opens one stream to each peer and sends on it only; it receives
on the streams that its peers open. Neither side has to agree on which of two
streams to keep.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import contextlib
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
QUEUE_BYTES = 16_777_216
GREETING_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
# Controllers empty a mailbox whenever they run, so that a full one has room
# again at once unless its controller hangs.
DELIVER_TIMEOUT_S = 2.0
DELIVER_RETRY_S = 0.005
STREAM_ERRORS = (
    OSError,
    TimeoutError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

CODEC = tagged.TaggedCodec(messages.MESSAGES, failures.Reason.PEER_PROTOCOL)


@attrs.define
class Session:
    """An open stream towards a peer.

    :param queue: encoded frames that were not written yet
    :param queued_bytes: their size
    """

    peer: membership_messages.Hello
    address: str
    queue: blackboard.Mailbox[bytes]
    scope: anyio.CancelScope
    queued_bytes: int = 0

    def post(self, frame: bytes) -> bool:
        """Queue a frame; return whether there was room."""
        if self.queued_bytes + len(frame) > QUEUE_BYTES:
            return False
        if not self.queue.post(frame):
            return False
        self.queued_bytes += len(frame)
        return True

    async def write_forever(self, stream: abc.ByteStream) -> None:
        """Write what is queued, until the stream breaks."""
        while True:
            await self.queue.wait_items()
            data = b"".join(self.queue.take())
            self.queued_bytes = 0
            try:
                await stream.send(data)
            except STREAM_ERRORS:
                self.scope.cancel()


class PeerHub:
    """Sends messages to peers and delivers those that arrive.

    :param greeting: what this VM says of itself
    :param deliver: takes each message that arrived; returns whether there
        was room for it
    """

    def __init__(
        self,
        greeting: membership_messages.Hello,
        deliver: Callable[[messages.Delivery], bool],
    ) -> None:
        self._greeting = greeting
        self._deliver = deliver
        self._sessions: dict[str, Session] = {}

    def send(self, vm: str, message: Any) -> bool:
        """Queue a message; return False if it cannot reach the VM now."""
        return self.post(vm, message) is None

    def post(self, vm: str, message: Any) -> failures.Failure | None:
        """Queue a message; return why it cannot reach the VM.

        A failure with a reason in `messages.UNSENDABLE` is final. Others
        pass when the session is open again or its queue has room.
        """
        if vm == self._greeting.vm:
            if self._deliver(messages.Delivery(vm, message)):
                return None
            return failures.Failure(
                failures.Reason.QUEUE_FULL, f"a mailbox of {vm} is full"
            )
        session = self._sessions.get(vm)
        if session is None:
            return failures.Failure(
                failures.Reason.PEER_UNREACHABLE, f"no session with {vm}"
            )
        frame = _encode(message)
        if isinstance(frame, failures.Failure):
            return frame
        if session.post(frame):
            return None
        return failures.Failure(
            failures.Reason.QUEUE_FULL, f"the queue towards {vm} is full"
        )

    def send_each(self, vms: Collection[str], message: Any) -> frozenset[str]:
        """Queue a message to several peers, encoded once.

        :returns: the peers with room in their queue
        """
        frame = _encode(message) if vms else b""
        if isinstance(frame, failures.Failure):
            return frozenset()
        return frozenset(
            vm
            for vm in vms
            if vm in self._sessions and self._sessions[vm].post(frame)
        )

    def list_sessions(self) -> dict[str, str]:
        """Return the address of each VM that a stream is open to."""
        return {vm: item.address for vm, item in self._sessions.items()}

    def close(self, vm: str) -> None:
        """Close the stream to a VM, if one is open."""
        session = self._sessions.pop(vm, None)
        if session is not None:
            session.scope.cancel()

    async def serve(self, stream: abc.ByteStream) -> None:
        """Receive on a stream that a peer opened until it ends."""
        async with stream:
            with _end_quietly("a peer"):
                await self._receive(stream)

    async def _receive(self, stream: abc.ByteStream) -> None:
        reader = frames.FrameReader(stream)
        with anyio.fail_after(GREETING_TIMEOUT_S):
            hello = await self._read_hello(reader)
            await self._greet(stream)
        await self._hand_over(messages.Delivery(hello.vm, hello))
        while True:
            # A peer that vanished without closing its stream is not waited
            # for; a living one sends a heartbeat every second.
            with anyio.fail_after(IDLE_TIMEOUT_S):
                frame = await reader.read_frame()
            await self._hand_over(messages.Delivery(hello.vm, _decode(frame)))

    async def _hand_over(self, delivery: messages.Delivery) -> None:
        """Deliver a message that arrived, waiting for room in its mailbox.

        Nothing more is read from the peer meanwhile.
        """
        with anyio.move_on_after(DELIVER_TIMEOUT_S):
            while not self._deliver(delivery):
                await anyio.sleep(DELIVER_RETRY_S)
            return
        self._deliver_or_log(delivery)

    def _deliver_or_log(self, delivery: messages.Delivery) -> None:
        if not self._deliver(delivery):
            LOG.error(
                "mailbox is full",
                extra={
                    "event": "mailbox_full",
                    "mailbox": delivery.message.mailbox,
                    "peer": delivery.sender,
                },
            )

    async def connect(self, address: str) -> None:
        """Open a stream to an address and send on it until it breaks."""
        with _end_quietly(address):
            # Addresses come from peers and from the platform.
            host, _, port = model.parse_address(address).rpartition(":")
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host.strip("[]"), int(port))
            async with stream:
                await self._run_session(stream, address)

    async def _run_session(self, stream: abc.ByteStream, address: str) -> None:
        reader = frames.FrameReader(stream)
        with anyio.fail_after(GREETING_TIMEOUT_S):
            await self._greet(stream)
            hello = await self._read_hello(reader)
        known = self._sessions.get(hello.vm)
        if hello.vm == self._greeting.vm:
            return
        if known is not None and known.peer.incarnation == hello.incarnation:
            return
        # A VM that was replaced may have left a stream that never closed.
        self.close(hello.vm)
        async with anyio.create_task_group() as group:
            session = Session(
                hello,
                address,
                blackboard.Mailbox(hello.vm, QUEUE_MESSAGES),
                group.cancel_scope,
            )
            self._open(session)
            group.start_soon(_watch_close, stream, group.cancel_scope)
            group.start_soon(session.write_forever, stream)
        self._forget(session)

    def _open(self, session: Session) -> None:
        peer = session.peer
        self._sessions[peer.vm] = session
        opened = membership_messages.SessionOpened(peer.vm, peer.incarnation)
        self._deliver_or_log(messages.Delivery(peer.vm, peer))
        self._deliver_or_log(messages.Delivery(peer.vm, opened))

    def _forget(self, session: Session) -> None:
        peer = session.peer
        if self._sessions.get(peer.vm) is session:
            del self._sessions[peer.vm]
        closed = membership_messages.SessionClosed(peer.vm, peer.incarnation)
        self._deliver_or_log(messages.Delivery(peer.vm, closed))

    async def _read_hello(
        self, reader: frames.FrameReader
    ) -> membership_messages.Hello:
        hello = _decode(await reader.read_frame())
        if not isinstance(hello, membership_messages.Hello):
            raise _make_error(f"expected hello, got {type(hello).__name__}")
        if hello.version != membership_messages.PROTOCOL_VERSION:
            raise _make_error(f"protocol version {hello.version}")
        return hello

    async def _greet(self, stream: abc.ByteStream) -> None:
        await stream.send(frames.encode_frame(CODEC.encode(self._greeting)))


@contextlib.contextmanager
def _end_quietly(peer: str) -> Iterator[None]:
    """End a session whose stream broke or whose peer sent nonsense."""
    try:
        yield
    except STREAM_ERRORS:
        return
    except ValueError:
        LOG.warning(
            "address of a peer is not IP:port",
            extra={"event": "peer_address_invalid", "address": peer},
        )
    except errors.FailureError as error:
        LOG.warning(
            "session ended for a protocol error",
            extra={
                "event": "peer_protocol_error",
                "peer": peer,
                "detail": str(error),
            },
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


def _encode(message: Any) -> bytes | failures.Failure:
    try:
        return frames.encode_frame(CODEC.encode(message))
    except errors.FailureError as error:
        LOG.error(
            "message cannot be sent to a peer",
            extra={
                "event": "message_unsendable",
                "type": type(message).__name__,
                "detail": str(error),
            },
        )
        return error.failure


def _decode(data: bytes) -> Any:
    message = CODEC.decode(data)
    if isinstance(message, failures.Failure):
        raise errors.FailureError(message)
    return message


def _make_error(detail: str) -> errors.FailureError:
    return errors.FailureError(
        failures.Failure(failures.Reason.PEER_PROTOCOL, detail)
    )
