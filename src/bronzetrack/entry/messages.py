"""Datagrams between entry VMs.

Each is a msgpack list of a tag and the fields of a class. Datagrams may be
lost or repeated; each message can be applied twice.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import functools
from typing import Any
from typing import TypeVar

import attrs
import msgpack

from bronzetrack.core import errors
from bronzetrack.core import registry

T = TypeVar("T")
MESSAGES: registry.Registry[type] = registry.Registry("entry messages")
# Larger datagrams would be split on the way.
DATAGRAM_BYTES = 1_400

# What decoding raises over bytes and fields of the wrong kind.
MALFORMED = (ValueError, TypeError, msgpack.exceptions.UnpackException)


class MessageError(errors.BronzetrackError):
    """A datagram that is no message."""


# Key of the check of a field. Checks are no validators of attrs, which would
# run for each message that this VM makes itself, too.
CHECK = "check"


def _checked(kind: type) -> Callable[[], Any]:
    check = attrs.validators.instance_of(kind)
    return functools.partial(attrs.field, metadata={CHECK: check})


text = _checked(str)
flag = _checked(bool)
# Python's bool is an int as well, which does no harm here.
count = _checked(int)


def check_counts(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept counts by name.

    :raises TypeError: the value is of another kind
    """
    if not isinstance(value, dict) or not all(
        isinstance(name, str) and isinstance(number, int)
        for name, number in value.items()
    ):
        raise TypeError(f"{field.name} holds no counts")


def check_uses(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept names of adapters by endpoint and model.

    :raises TypeError: the value is of another kind
    """
    if not isinstance(value, dict) or not all(
        isinstance(identity, str)
        and isinstance(models, dict)
        and all(map(_is_use, models.items()))
        for identity, models in value.items()
    ):
        raise TypeError(f"{field.name} holds no adapters in use")


def _check_fields(received: T) -> T:
    """Return what was received, if all its fields are of their kinds.

    :raises TypeError: one is not
    """
    for field in attrs.fields(type(received)):
        check = field.metadata[CHECK]
        check(received, field, getattr(received, field.name))
    return received


def _is_use(item: tuple[Any, Any]) -> bool:
    model, adapters = item
    return (
        isinstance(model, str)
        and isinstance(adapters, list)
        and all(isinstance(adapter, str) for adapter in adapters)
    )


@MESSAGES.register("h")
@attrs.frozen
class Heartbeat:
    """What a VM says of itself.

    :param lease_end: end of the lease log, as far as the VM knows
    :param holder: the VM that last appended there
    :param lease_released: whether that record releases the lease
    :param active: requests in progress by endpoint
    """

    vm: str = text()
    incarnation: str = text()
    front: str = text()
    zone: str = text()
    ready: bool = flag()
    stopping: bool = flag()
    lease_end: int = count()
    holder: str = text()
    lease_released: bool = flag()
    active: dict[str, int] = attrs.field(metadata={CHECK: check_counts})


@MESSAGES.register("u")
@attrs.frozen
class Uses:
    """Adapters in use by a VM, for the holder of the lease.

    :param uses: adapters of requests in progress, by endpoint and model
    """

    vm: str = text()
    uses: dict[str, dict[str, list[str]]] = attrs.field(
        metadata={CHECK: check_uses}
    )

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

    vm: str = text()
    service: str = text()
    model: str = text()
    adapter: str = text()
    version: int = count()
    copies: int = count()
    missing: str = text()
    unreachable: str = text()
    slack_ms: int = count()


@MESSAGES.register("p")
@attrs.frozen
class Placed:
    """An engine holds something anew, or no longer.

    :param version: version held, 0 for none
    """

    identity: str = text()
    model: str = text()
    adapter: str = text()
    version: int = count()


@MESSAGES.register("l")
@attrs.frozen
class Loss:
    """An endpoint broke off while it ran a request.

    :param identity: path and body of the request, as a digest
    """

    identity: str = text()


TAGS = {cls: tag for tag, cls in MESSAGES.items()}


@attrs.frozen
class Contact:
    """Where a VM can be reached, as it announces it in the store."""

    front: str = text()
    host: str = text()
    port: int = count()
    zone: str = text()


def encode_contact(contact: Contact) -> bytes:
    """Return the value of a VM's announcement."""
    return msgpack.packb(list(attrs.astuple(contact)))


def decode_contact(value: bytes) -> Contact:
    """Return what a VM announced.

    :raises MessageError: it is no announcement
    """
    try:
        return _check_fields(Contact(*msgpack.unpackb(value)))
    except MALFORMED as error:
        raise MessageError(f"not an announcement: {error!r}") from error


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
        return _check_fields(MESSAGES.lookup(tag)(*fields))
    except (*MALFORMED, errors.UnknownEntryError) as error:
        raise MessageError(f"not a message: {error!r}") from error
