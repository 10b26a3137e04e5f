"""Check whether a process listens at an address."""

from __future__ import annotations

import asyncio

PROBE_TIMEOUT_S = 0.4
# A process that ends may close its listening socket only after it has written
# its memory to a file, while its connections are reset before that.
PROBE_PAUSES_S = (0.0, 0.1, 0.3, 0.6)


async def is_refused(address: str) -> bool:
    """Return whether an address refuses connections within a second.

    No answer within the timeout is no refusal: the network may be at fault.

    :param address: as HOST:PORT
    """
    for pause_s in PROBE_PAUSES_S:
        await asyncio.sleep(pause_s)
        if await _is_refused_once(address):
            return True
    return False


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
