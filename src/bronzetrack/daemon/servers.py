"""HTTP servers inside the one event loop."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import uvicorn

BACKLOG_CONNECTIONS = 2_048
KEEP_ALIVE_S = 30


class QuietServer(uvicorn.Server):
    """A server that leaves signals to the lifecycle controller."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def make_server(application: Any) -> QuietServer:
    """Return a server for an ASGI application."""
    return QuietServer(
        uvicorn.Config(
            application,
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_keep_alive=KEEP_ALIVE_S,
        )
    )


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an `IP:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def open_socket(address: str) -> socket.socket:
    """Return a socket that listens at an `IP:port` address.

    :raises OSError: the address cannot be listened on
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server(
        (host, port), family=family, backlog=BACKLOG_CONNECTIONS
    )
