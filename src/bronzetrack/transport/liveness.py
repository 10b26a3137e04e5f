"""Whether the peer of a TCP connection is gone, or only reads slowly.

A peer that does not read closes its window, but its kernel acknowledges the
probes of it. The kernel's time-out for data (TCP_USER_TIMEOUT of tcp(7)) ends
the connection all the same, so that it is not used. Instead, a peer counts as
gone if it acknowledges nothing although something was sent to it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import fcntl
import socket
import struct
import termios
from typing import Any

import attrs

# Head of `struct tcp_info` (linux/tcp.h) up to `tcpi_bytes_acked`.
TCP_INFO = struct.Struct("=8B24I3Q")
RETRANSMITS_INDEX = 2
PROBES_INDEX = 3
LAST_ACK_INDEX = 20
ACKNOWLEDGED_INDEX = 34
QUEUED_BYTES = struct.Struct("i")
# A probe of a closed window may be on its way. A second one is sent only if
# the first was not acknowledged.
UNANSWERED_PROBES = 2


@attrs.frozen
class PeerState:
    """What the kernel knows of a peer.

    :param queued_bytes: bytes that were written and not acknowledged
    :param retransmits: times that the same bytes were sent again in a row
    :param probes: probes of a closed window without an answer
    :param ack_age_s: seconds since the last acknowledgement, also of a probe
    :param acknowledged_bytes: bytes that were acknowledged so far
    """

    queued_bytes: int
    retransmits: int
    probes: int
    ack_age_s: float
    acknowledged_bytes: int = 0

    def is_gone(self, waited_s: float, limit_s: float) -> bool:
        """Return whether the peer is gone.

        :param waited_s: seconds since the first bytes were written that are
            not acknowledged; before, there may have been nothing to
            acknowledge
        :param limit_s: seconds without an acknowledgement after which it is
        """
        is_silent = self.retransmits > 0 or self.probes >= UNANSWERED_PROBES
        return is_silent and min(waited_s, self.ack_age_s) >= limit_s


def read_state(tcp_socket: socket.socket) -> PeerState | None:
    """Return what the kernel knows, `None` if it does not tell.

    The socket may be closed, or the kernel may know less than Linux 4.1.
    """
    try:
        data = tcp_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
        )
        queued = fcntl.ioctl(
            tcp_socket.fileno(), termios.TIOCOUTQ, bytes(QUEUED_BYTES.size)
        )
        fields = TCP_INFO.unpack(data)
    except (OSError, ValueError, struct.error):
        return None
    (queued_bytes,) = QUEUED_BYTES.unpack(queued)
    return PeerState(
        queued_bytes,
        fields[RETRANSMITS_INDEX],
        fields[PROBES_INDEX],
        fields[LAST_ACK_INDEX] / 1000,
        fields[ACKNOWLEDGED_INDEX],
    )


class PeerWatch:
    """Checks from time to time whether a peer to which bytes go is gone.

    :param on_gone: called once if it is
    :param limit_s: seconds without an acknowledgement after which it is
    :param interval_s: seconds between two checks
    """

    def __init__(
        self,
        transport: Any,
        on_gone: Callable[[], None],
        limit_s: float,
        interval_s: float,
    ) -> None:
        self._transport = transport
        self._on_gone = on_gone
        self._limit_s = limit_s
        self._interval_s = interval_s
        self._began_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Check until all bytes that were written are acknowledged."""
        self.end()
        loop = asyncio.get_running_loop()
        self._began_at = loop.time()
        self._timer = loop.call_later(self._interval_s, self._check)

    def end(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        state = read_state(self._transport.get_extra_info("socket"))
        if state is None:
            return
        loop = asyncio.get_running_loop()
        if state.is_gone(loop.time() - self._began_at, self._limit_s):
            self._on_gone()
        elif state.queued_bytes or self._transport.get_write_buffer_size():
            self._timer = loop.call_later(self._interval_s, self._check)
