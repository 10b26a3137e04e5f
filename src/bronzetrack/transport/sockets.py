"""Questions to sockets that the loop's transports do not answer."""

from __future__ import annotations

import select
import socket


def has_event(tcp_socket: socket.socket, event: int) -> bool:
    """Return whether an event of a socket is there, without a wait.

    :param event: an event of `select.poll`
    """
    poll = select.poll()
    poll.register(tcp_socket.fileno(), event)
    return bool(poll.poll(0))
