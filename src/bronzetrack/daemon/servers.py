"""HTTP servers that share the event loop of the daemon."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import uvicorn

BACKLOG_CONNECTIONS = 2_048
KEEP_ALIVE_S = 30


class EmbeddedServer(uvicorn.Server):
    """A server without signal handlers.

    The lifecycle controller handles the signals of the process.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def make_server(application: Any) -> EmbeddedServer:
    """Return a server for an ASGI application."""
    return EmbeddedServer(
        uvicorn.Config(
            application,
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_keep_alive=KEEP_ALIVE_S,
        )
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an `IP:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def open_socket(address: str) -> socket.socket:
    """Return a socket that listens on an `IP:port` address.

    :raises OSError: the address is unavailable
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server(
        (host, port), family=family, backlog=BACKLOG_CONNECTIONS
    )
