"""Event loop whose clock jumps to the next event instead of waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import selectors
from typing import Any


class VirtualSelector(selectors.SelectSelector):
    """Selector that lets virtual time pass in place of real time.

    :ivar now: virtual time, in seconds
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout; no file is ever ready.

        :raises RuntimeError: no event is scheduled, so that nothing can
            happen any more
        """
        if timeout is None:
            raise RuntimeError("no event is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, with a network given by the test.

    :param open_socket: returns the transport of a datagram socket, given the
        local address and the protocol
    """

    def __init__(
        self, open_socket: Callable[[tuple[str, int], Any], Any]
    ) -> None:
        self._virtual = VirtualSelector()
        self._open_socket = open_socket
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual.now

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory, local_addr=None, **options
    ):
        """Open a socket of the simulated network."""
        protocol = protocol_factory()
        transport = self._open_socket(local_addr, protocol)
        protocol.connection_made(transport)
        return transport, protocol
