"""HTTP servers inside the one event loop."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from typing import Any

import uvicorn


class QuietServer(uvicorn.Server):
    """A server that leaves signals to the lifecycle controller."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def make_server(application: Any, address: str) -> QuietServer:
    """Return a server for an ASGI application at `IP:port`."""
    host, _, port = address.rpartition(":")
    return QuietServer(
        uvicorn.Config(
            application,
            host=host.strip("[]"),
            port=int(port),
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_keep_alive=30,
        )
    )
