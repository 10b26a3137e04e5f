"""Log event of requests that are refused for their key."""

from __future__ import annotations

import attrs

from bronzetrack.core import logevents


@logevents.register("key_refused", "a request was refused for its key")
@attrs.frozen
class KeyRefused(logevents.LogEvent):
    """A request whose key is not accepted; the key itself is not logged.

    :param cause: whether the key is missing, unknown, ambiguous or revoked
    :param version: version of the configuration that does not hold the key
    """

    request_id: str
    route: str
    cause: str
    version: int
