"""Sessions between daemons.

Each daemon opens one stream to each peer and uses it only to send. It receives
on the streams that its peers open. The two sides therefore need not agree on
which of two streams to keep.
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
HANDSHAKE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
# Controllers empty their mailboxes whenever they run, so a full mailbox has
# room again at once unless its controller hangs.
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
    """An open stream to a peer.

    :param peer: the hello message of the peer
    :param address: address of the peer, as `IP:port`
    :param queue: encoded frames that have not been written yet
    :param scope: cancels the session
    :param queued_bytes: size of the queued frames
    """

    peer: membership_messages.Hello
    address: str
    queue: blackboard.Mailbox[bytes]
    scope: anyio.CancelScope
    queued_bytes: int = 0

    def post(self, frame: bytes) -> bool:
        """Queue a frame unless the queue is full.

        :returns: whether the frame was queued
        """
        if self.queued_bytes + len(frame) > QUEUE_BYTES:
            return False
        if not self.queue.post(frame):
            return False
        self.queued_bytes += len(frame)
        return True

    async def write_forever(self, stream: abc.ByteStream) -> None:
        """Write queued frames to the stream until it breaks."""
        while True:
            await self.queue.wait_items()
            data = b"".join(self.queue.take())
            self.queued_bytes = 0
            try:
                await stream.send(data)
            except STREAM_ERRORS:
                self.scope.cancel()


class PeerHub:
    """Sends messages to peers and delivers received messages.

    :param own_hello: the hello message that this VM sends in each handshake
    :param deliver: delivers a received message to its mailbox and returns
        whether the mailbox had room
    """

    def __init__(
        self,
        own_hello: membership_messages.Hello,
        deliver: Callable[[messages.Delivery], bool],
    ) -> None:
        self._own_hello = own_hello
        self._deliver = deliver
        self._sessions: dict[str, Session] = {}

    def send(self, vm: str, message: Any) -> bool:
        """Queue a message to a VM.

        :returns: whether the message was queued
        """
        return self.try_send(vm, message) is None

    def try_send(self, vm: str, message: Any) -> failures.Failure | None:
        """Queue a message to a VM.

        A failure with a reason in `messages.UNSENDABLE` is permanent. Other
        failures pass once the session is open again or its queue has room.

        :returns: None, or the failure if the message was not queued
        """
        if vm == self._own_hello.vm:
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

    def send_to_all(
        self, vms: Collection[str], message: Any
    ) -> frozenset[str]:
        """Queue a message, which is encoded once, to several peers.

        :returns: the peers to which the message was queued
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
        """Return the addresses of the VMs with an open session, by VM."""
        return {vm: item.address for vm, item in self._sessions.items()}

    def close(self, vm: str) -> None:
        """Close the session with a VM, if one is open."""
        session = self._sessions.pop(vm, None)
        if session is not None:
            session.scope.cancel()

    async def serve(self, stream: abc.ByteStream) -> None:
        """Receive messages on a stream that a peer opened, until it ends."""
        async with stream:
            with _contain_session_errors("a peer"):
                await self._receive(stream)

    async def _receive(self, stream: abc.ByteStream) -> None:
        reader = frames.FrameReader(stream)
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            hello = await self._read_hello(reader)
            await self._send_hello(stream)
        await self._deliver_when_possible(messages.Delivery(hello.vm, hello))
        while True:
            # A live peer sends a heartbeat every second. The timeout ends the
            # session of a peer that vanished without closing its stream.
            with anyio.fail_after(IDLE_TIMEOUT_S):
                frame = await reader.read_frame()
            await self._deliver_when_possible(
                messages.Delivery(hello.vm, _decode(frame))
            )

    async def _deliver_when_possible(
        self, delivery: messages.Delivery
    ) -> None:
        """Deliver a received message, waiting for room in its mailbox.

        Meanwhile nothing more is read from the peer.
        """
        with anyio.move_on_after(DELIVER_TIMEOUT_S):
            while not self._deliver(delivery):
                await anyio.sleep(DELIVER_RETRY_S)
            return
        self._deliver_or_log(delivery)

    def _deliver_or_log(self, delivery: messages.Delivery) -> None:
        if not self._deliver(delivery):
            LOG.error(
                "a message was dropped because its mailbox is full",
                extra={
                    "event": "mailbox_full",
                    "mailbox": delivery.message.mailbox,
                    "peer": delivery.sender,
                },
            )

    async def connect(self, address: str) -> None:
        """Open a stream to a peer and send messages on it until it breaks."""
        with _contain_session_errors(address):
            # Addresses come from peers and from the platform.
            host, _, port = model.parse_address(address).rpartition(":")
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host.strip("[]"), int(port))
            async with stream:
                await self._run_session(stream, address)

    async def _run_session(self, stream: abc.ByteStream, address: str) -> None:
        reader = frames.FrameReader(stream)
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await self._send_hello(stream)
            hello = await self._read_hello(reader)
        existing = self._sessions.get(hello.vm)
        if hello.vm == self._own_hello.vm:
            return
        if (
            existing is not None
            and existing.peer.incarnation == hello.incarnation
        ):
            return
        # A VM that was replaced may have left a stream that was never closed.
        self.close(hello.vm)
        async with anyio.create_task_group() as group:
            session = Session(
                hello,
                address,
                blackboard.Mailbox(hello.vm, QUEUE_MESSAGES),
                group.cancel_scope,
            )
            self._add_session(session)
            group.start_soon(_cancel_on_close, stream, group.cancel_scope)
            group.start_soon(session.write_forever, stream)
        self._remove_session(session)

    def _add_session(self, session: Session) -> None:
        peer = session.peer
        self._sessions[peer.vm] = session
        opened = membership_messages.SessionOpened(peer.vm, peer.incarnation)
        self._deliver_or_log(messages.Delivery(peer.vm, peer))
        self._deliver_or_log(messages.Delivery(peer.vm, opened))

    def _remove_session(self, session: Session) -> None:
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

    async def _send_hello(self, stream: abc.ByteStream) -> None:
        await stream.send(frames.encode_frame(CODEC.encode(self._own_hello)))


@contextlib.contextmanager
def _contain_session_errors(peer: str) -> Iterator[None]:
    """Contain the errors that end one session.

    The errors are a broken stream, an invalid address and a violation of the
    protocol. The last two are logged.
    """
    try:
        yield
    except STREAM_ERRORS:
        return
    except ValueError:
        LOG.warning(
            "the address of a peer is not IP:port",
            extra={"event": "peer_address_invalid", "address": peer},
        )
    except errors.FailureError as error:
        LOG.warning(
            "a session ended because of a protocol error",
            extra={
                "event": "peer_protocol_error",
                "peer": peer,
                "detail": str(error),
            },
        )


async def _cancel_on_close(
    stream: abc.ByteStream, scope: anyio.CancelScope
) -> None:
    """Cancel a scope when the peer closes a stream it does not write to."""
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
            "a message cannot be encoded for a peer",
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
