"""Check whether a process listens at an address."""

from __future__ import annotations

import asyncio

PROBE_TIMEOUT_S = 0.4
# A process that ends may close its connections before its listening socket.
SECOND_PROBE_PAUSE_S = 0.1


async def is_refused(address: str) -> bool:
    """Return whether an address refuses connections.

    No answer within the timeout is no refusal: the network may be at fault.

    :param address: as HOST:PORT
    """
    if await _is_refused_once(address):
        return True
    await asyncio.sleep(SECOND_PROBE_PAUSE_S)
    return await _is_refused_once(address)


async def _is_refused_once(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
