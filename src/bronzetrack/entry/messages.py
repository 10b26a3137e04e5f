"""Datagrams between entry VMs.

Each is a msgpack list of a tag and the fields of a class. Datagrams may be
lost or repeated; each message can be applied twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs
import msgpack

from bronzetrack.core import errors
from bronzetrack.core import registry

MESSAGES: registry.Registry[type] = registry.Registry("entry messages")
# Larger datagrams would be split on the way.
DATAGRAM_BYTES = 1_400


class MessageError(errors.BronzetrackError):
    """A datagram that is no message."""


@MESSAGES.register("h")
@attrs.frozen
class Heartbeat:
    """What a VM says of itself.

    :param lease_end: end of the lease log, as far as the VM knows
    :param holder: the VM that last appended there
    :param lease_released: whether that record releases the lease
    :param active: requests in progress by endpoint
    """

    vm: str
    incarnation: str
    front: str
    zone: str
    ready: bool
    stopping: bool
    lease_end: int
    holder: str
    lease_released: bool
    active: dict[str, int]


@MESSAGES.register("u")
@attrs.frozen
class Uses:
    """Adapters in use by a VM, for the holder of the lease.

    :param uses: adapters of requests in progress, by endpoint and model
    """

    vm: str
    uses: dict[str, dict[str, list[str]]]

    def list_uses(self) -> Iterator[tuple[str, str, str]]:
        """Iterate over endpoint, model and adapter."""
        for identity, models in self.uses.items():
            for model, adapters in models.items():
                for adapter in adapters:
                    yield identity, model, adapter


@MESSAGES.register("w")
@attrs.frozen
class Want:
    """A VM needs a model or an adapter at some engine of a service.

    :param copies: engines that should hold it at least
    :param missing: engine that said it does not hold it
    :param unreachable: engine that took no connection
    :param slack_ms: time left in which the request is on time
    """

    vm: str
    service: str
    model: str
    adapter: str
    version: int
    copies: int
    missing: str
    unreachable: str
    slack_ms: int


@MESSAGES.register("p")
@attrs.frozen
class Placed:
    """An engine holds something anew, or no longer.

    :param version: version held, 0 for none
    """

    identity: str
    model: str
    adapter: str
    version: int


def encode(message: Any) -> bytes:
    """Return a datagram."""
    tag = TAGS[type(message)]
    fields = attrs.astuple(message, recurse=False)
    return msgpack.packb([tag, *fields])


def decode(data: bytes) -> Any:
    """Return the message in a datagram.

    :raises MessageError: it is none
    """
    try:
        tag, *fields = msgpack.unpackb(data)
        return MESSAGES.lookup(tag)(*fields)
    except (ValueError, TypeError, errors.UnknownEntryError) as error:
        raise MessageError(f"not a message: {error!r}") from error
    except msgpack.exceptions.UnpackException as error:
        raise MessageError(f"not a message: {error!r}") from error


@MESSAGES.register("l")
@attrs.frozen
class Loss:
    """An endpoint broke off while it ran a request.

    :param identity: path and body of the request, as a digest
    """

    identity: str


TAGS = {cls: tag for tag, cls in MESSAGES.items()}
