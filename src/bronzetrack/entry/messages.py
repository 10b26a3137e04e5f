"""Datagrams between entry VMs.

A datagram is a msgpack list of a tag and the fields of a message class, in
order. Datagrams may be lost or duplicated; each message may be applied twice.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import math
from typing import Any
from typing import TypeVar

import attrs
import msgpack

from bronzetrack.core import errors
from bronzetrack.core import registry

T = TypeVar("T")
MESSAGES: registry.Registry[type] = registry.Registry("entry messages")
# Larger datagrams would be fragmented on the network.
DATAGRAM_BYTES = 1_400
# Bytes of the frame of a bundle, and of each message in it.
BUNDLE_BYTES = 16
ITEM_BYTES = 3
# Keys of suspected requests in one message, each of at most 34 bytes.
KEYS_PER_DATAGRAM = 32
# Largest amount of work in a report; more is reported as this.
MAX_WORK = 0xFFFF

# Exceptions raised by decoding invalid bytes or fields of a wrong type.
DECODE_ERRORS = (ValueError, TypeError, msgpack.exceptions.UnpackException)


class MessageError(errors.BronzetrackError):
    """A datagram or an announcement that is not valid."""


# Metadata key of the type check of a field. The checks are not attrs
# validators, because those would also run for each message that this VM
# creates itself.
CHECK = "check"
# Metadata key of last fields that are left out of the datagram if they are
# empty.
OPTIONAL = "optional"


def _make_checked_field(kind: type) -> Callable[[], Any]:
    check = attrs.validators.instance_of(kind)
    return functools.partial(attrs.field, metadata={CHECK: check})


text_field = _make_checked_field(str)
bool_field = _make_checked_field(bool)
bytes_field = _make_checked_field(bytes)
optional_bool_field = functools.partial(
    attrs.field,
    default=False,
    metadata={
        CHECK: attrs.validators.instance_of(bool),
        OPTIONAL: True,
    },
)
# The check also accepts bool, a subclass of int, which does no harm here.
int_field = _make_checked_field(int)


# Largest amount of units in a message.
MAX_AMOUNT = 1e15
MAX_NUMBER = 2**32 - 1
MAX_SHORT_NUMBER = 2**16 - 1
MAX_RETRY_MS = 2**31 - 1


def check_change(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value is a finite number of units of either sign.

    :raises TypeError: the value has another type
    :raises ValueError: the value is not finite or too large
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{field.name} is not a number")
    if not math.isfinite(value) or abs(value) > MAX_AMOUNT:
        raise ValueError(f"{field.name} is out of range")


def check_amount(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value is a finite number of units, at least 0.

    :raises TypeError: the value has another type
    :raises ValueError: the value is not finite, negative or too large
    """
    check_change(_, field, value)
    if value < 0:
        raise ValueError(f"{field.name} is negative")


def _make_range_check(
    highest: int,
) -> Callable[[Any, attrs.Attribute[Any], Any], None]:
    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if isinstance(value, bool) or not isinstance(value, int):
            raise TypeError(f"{field.name} is not a whole number")
        if not 0 <= value <= highest:
            raise ValueError(f"{field.name} is out of range")

    return check


check_number = _make_range_check(MAX_NUMBER)
check_short_number = _make_range_check(MAX_SHORT_NUMBER)
check_retry_ms = _make_range_check(MAX_RETRY_MS)


def check_counts(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value maps names to counts.

    :raises TypeError: the value has another type
    """
    if not isinstance(value, dict) or not all(
        isinstance(name, str) and isinstance(number, int)
        for name, number in value.items()
    ):
        raise TypeError(f"{field.name} does not map names to counts")


def check_work(message: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value is empty or has a number for each count.

    :raises TypeError: the value has another type or length
    """
    if not isinstance(value, list) or not all(
        type(number) is int and 0 <= number <= MAX_WORK for number in value
    ):
        raise TypeError(f"{field.name} is not a list of amounts of work")
    if value and len(value) != len(message.active):
        raise TypeError(f"{field.name} has another length than the counts")


def check_uses(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value holds lists of adapters by endpoint and model.

    :raises TypeError: the value has another type
    """
    if not isinstance(value, dict) or not all(
        isinstance(identity, str)
        and isinstance(models, dict)
        and all(map(_is_use_list, models.items()))
        for identity, models in value.items()
    ):
        raise TypeError(
            f"{field.name} does not hold adapters by endpoint and model"
        )


def check_items(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value is a list of encoded messages.

    :raises TypeError: the value has another type
    """
    if not isinstance(value, list) or not all(
        isinstance(item, bytes) for item in value
    ):
        raise TypeError(f"{field.name} is not a list of messages")


def check_ages(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value maps keys to ages of crashes.

    :raises TypeError: the value has another type
    """
    if not isinstance(value, dict):
        raise TypeError(f"{field.name} does not map keys to ages")
    for key, ages_ms in value.items():
        if not isinstance(key, str):
            raise TypeError(f"a key in {field.name} is not a text")
        check_counts(_, field, ages_ms)


def check_keys(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value is a list of keys.

    :raises TypeError: the value has another type
    """
    if not isinstance(value, list) or not all(
        isinstance(item, str) for item in value
    ):
        raise TypeError(f"{field.name} is not a list of keys")


def _check_fields(received: T) -> T:
    """Return a received message after a check of the types of its fields.

    :raises TypeError: a field has a wrong type
    """
    for field in attrs.fields(type(received)):
        check = field.metadata[CHECK]
        check(received, field, getattr(received, field.name))
    return received


def _is_use_list(item: tuple[Any, Any]) -> bool:
    model, adapters = item
    return (
        isinstance(model, str)
        and isinstance(adapters, list)
        and all(isinstance(adapter, str) for adapter in adapters)
    )


@attrs.frozen
class VmReport:
    """What a VM reports about itself and the lease.

    :param caller_address: address for callers
    :param lease_end: end offset of the lease log, as far as the VM knows
    :param holder: the VM that last appended to the lease log
    :param lease_released: whether that record releases the lease
    """

    vm: str = text_field()
    caller_address: str = text_field()
    zone: str = text_field()
    ready: bool = bool_field()
    stopping: bool = bool_field()
    lease_end: int = int_field()
    holder: str = text_field()
    lease_released: bool = bool_field()


@MESSAGES.register("h")
@attrs.frozen
class Heartbeat(VmReport):
    """Periodic report of a VM about its own state, sent to hubs.

    :param active: requests in progress by endpoint
    :param work: work left of these requests, in the order of `active` and in
        units of `digests.WORK_UNIT_MS`; empty where no service is routed by
        cost
    :param joining: whether VMs may act that this one does not know
    """

    active: dict[str, int] = attrs.field(metadata={CHECK: check_counts})
    work: list[int] = attrs.field(
        factory=list, metadata={CHECK: check_work, OPTIONAL: True}
    )
    joining: bool = optional_bool_field()


@MESSAGES.register("d")
@attrs.frozen
class LoadDigest(VmReport):
    """Periodic report of a hub about the lease, the load and the store.

    :param holder_host: IP address for datagrams of the holder, empty if
        unknown
    :param operator_offset: offset after the last record of the operator topic
        that the hub has read
    :param endpoint_offset: offset after the last record by which an endpoint
        came, left or changed its state
    :param operator_age_ms: time since the hub read the operator topic
    :param endpoint_age_ms: time since the hub read the entries of endpoints
    :param totals: requests in progress of all VMs by endpoint, encoded
    :param work: work left of these requests, in the order of `totals`,
        encoded; empty where no service is routed by cost
    :param joining: whether VMs may act that the hub does not know
    """

    holder_host: str = text_field()
    holder_port: int = int_field()
    operator_offset: int = int_field()
    endpoint_offset: int = int_field()
    operator_age_ms: int = int_field()
    endpoint_age_ms: int = int_field()
    totals: bytes = bytes_field()
    work: bytes = attrs.field(
        default=b"",
        metadata={
            CHECK: attrs.validators.instance_of(bytes),
            OPTIONAL: True,
        },
    )
    joining: bool = optional_bool_field()


@MESSAGES.register("m")
@attrs.frozen
class MemberDigest:
    """Periodic report of a hub about the VMs that are alive.

    :param vm: the hub
    :param members: state of some of the VMs, encoded
    """

    vm: str = text_field()
    members: bytes = bytes_field()


@MESSAGES.register("b")
@attrs.frozen
class Bundle:
    """Several messages for the same VM.

    :param items: the encoded messages
    """

    items: list[bytes] = attrs.field(metadata={CHECK: check_items})


@MESSAGES.register("u")
@attrs.frozen
class UsageReport:
    """Adapters in use by a VM, sent to the holder of the lease.

    :param uses: adapters of requests in progress, by endpoint and model
    """

    vm: str = text_field()
    uses: dict[str, dict[str, list[str]]] = attrs.field(
        metadata={CHECK: check_uses}
    )

    def list_uses(self) -> Iterator[tuple[str, str, str]]:
        """Yield the endpoint, model and adapter of each use."""
        for identity, models in self.uses.items():
            for model, adapters in models.items():
                for adapter in adapters:
                    yield identity, model, adapter


@MESSAGES.register("w")
@attrs.frozen
class LoadRequest:
    """Demand of a VM for a model or an adapter at any engine of a service.

    :param copies: minimum number of engines that should hold it
    :param missing: engine that rejected a request because it does not hold it
    :param unreachable: engine that accepted no connection
    :param slack_ms: time until the request can no longer be on time
    """

    vm: str = text_field()
    service: str = text_field()
    model: str = text_field()
    adapter: str = text_field()
    version: int = int_field()
    copies: int = int_field()
    missing: str = text_field()
    unreachable: str = text_field()
    slack_ms: int = int_field()


@MESSAGES.register("p")
@attrs.frozen
class HoldingChange:
    """Change of the version of a model or an adapter at an engine.

    :param version: version that the engine now holds, 0 for none
    """

    identity: str = text_field()
    model: str = text_field()
    adapter: str = text_field()
    version: int = int_field()


@MESSAGES.register("k")
@attrs.frozen
class PlacementDigest:
    """Changes of the versions of a model's adapters at engines.

    :param changes: the changes, encoded as in `placementdigests`
    """

    model: str = text_field()
    changes: bytes = bytes_field()


@MESSAGES.register("e")
@attrs.frozen
class EndpointLeaves:
    """Statement of an endpoint, in an answer or its entry, that it leaves.

    :param start: id of the endpoint's start
    """

    identity: str = text_field()
    start: str = text_field()


@MESSAGES.register("g")
@attrs.frozen
class EndpointGone:
    """Removal of the entry of an endpoint from the store.

    :param start: id of the endpoint's start
    :param announcement: number of its last announcement
    """

    identity: str = text_field()
    start: str = text_field()
    announcement: int = int_field()


@MESSAGES.register("c")
@attrs.frozen
class CrashReport:
    """Crash of an endpoint that was running requests.

    :param vm: the VM that confirmed the crash
    :param start: id of the endpoint's start that ended
    :param age_ms: time since the crash
    :param keys: keys of the requests
    """

    vm: str = text_field()
    start: str = text_field()
    age_ms: int = int_field()
    keys: list[str] = attrs.field(metadata={CHECK: check_keys})


@MESSAGES.register("s")
@attrs.frozen
class SuspectReport:
    """Crashes because of which requests are refused.

    :param ages_ms: time since each crash, by key and id of the endpoint's
        start
    """

    ages_ms: dict[str, dict[str, int]] = attrs.field(
        metadata={CHECK: check_ages}
    )


@MESSAGES.register("a")
@attrs.frozen
class KeysCleared:
    """Answers to requests with keys that are suspected.

    :param ages_ms: time since the latest answer began, by key
    """

    ages_ms: dict[str, int] = attrs.field(metadata={CHECK: check_counts})


@MESSAGES.register("q")
@attrs.frozen
class CreditRequest:
    """Request of a VM for credit of a workspace, sent to its owner.

    The owner of a workspace gets many of these, so that they are kept short.

    :param workspace: number that stands for the workspace
    :param number: number of the request, which its repetitions share; the
        upper 16 bits name the run of the process
    :param least: units without which the credit is of no use
    :param ahead: units beyond these that are of use soon
    :param returned: units of expired credit, negative for units that were
        used without credit
    """

    workspace: int = attrs.field(metadata={CHECK: check_number})
    number: int = attrs.field(metadata={CHECK: check_number})
    least: float = attrs.field(metadata={CHECK: check_amount})
    ahead: float = attrs.field(
        default=0, metadata={CHECK: check_amount, OPTIONAL: True}
    )
    returned: float = attrs.field(
        default=0, metadata={CHECK: check_change, OPTIONAL: True}
    )

    @property
    def wanted(self) -> float:
        """Units that are wanted."""
        return self.least + self.ahead

    @property
    def short_number(self) -> int:
        """Number by which the answer names the request."""
        return self.number & MAX_SHORT_NUMBER


@MESSAGES.register("r")
@attrs.frozen
class CreditGrant:
    """Answer of the owner of a workspace to a request for credit.

    :param number: lower 16 bits of the number of the request
    :param granted: units lent, 0 if there are too few
    :param retry_ms: time until there are enough
    :param is_unsure: whether a refusal does not mean that the quota is used
        up, since the owner does not know what the previous one lent
    """

    number: int = attrs.field(metadata={CHECK: check_short_number})
    granted: float = attrs.field(metadata={CHECK: check_amount})
    retry_ms: int = attrs.field(
        default=0, metadata={CHECK: check_retry_ms, OPTIONAL: True}
    )
    is_unsure: bool = optional_bool_field()


@attrs.frozen
class Received:
    """A received message and the VM that sent it."""

    vm: str
    message: Any


@attrs.frozen
class Addressed:
    """A message in the mailbox of outgoing messages for one VM only."""

    vm: str
    message: Any


TAGS = {cls: tag for tag, cls in MESSAGES.items()}


@attrs.frozen
class VmAddresses:
    """Addresses of a VM, as it announces them in the store.

    :param caller_address: address for callers
    :param host: IP address for datagrams of other VMs
    :param port: UDP port for datagrams of other VMs
    """

    caller_address: str = text_field()
    host: str = text_field()
    port: int = int_field()
    zone: str = text_field()


def encode_vm_addresses(addresses: VmAddresses) -> bytes:
    """Return the encoded announcement of a VM."""
    return msgpack.packb(list(attrs.astuple(addresses)))


def decode_vm_addresses(value: bytes) -> VmAddresses:
    """Decode the announcement of a VM.

    :raises MessageError: the value is not a valid announcement
    """
    try:
        return _check_fields(VmAddresses(*msgpack.unpackb(value)))
    except DECODE_ERRORS as error:
        raise MessageError(f"invalid announcement: {error!r}") from error


def encode(message: Any) -> bytes:
    """Encode a message as a datagram."""
    cls = type(message)
    values = list(attrs.astuple(message, recurse=False))
    for field in reversed(attrs.fields(cls)):
        if values[-1] or OPTIONAL not in field.metadata:
            break
        values.pop()
    return msgpack.packb([TAGS[cls], *values])


def decode(data: bytes) -> Any:
    """Decode the message in a datagram.

    :raises MessageError: the datagram is not a valid message
    """
    try:
        tag, *fields = msgpack.unpackb(data)
        return _check_fields(MESSAGES.lookup(tag)(*fields))
    except (*DECODE_ERRORS, errors.UnknownEntryError) as error:
        raise MessageError(f"invalid message: {error!r}") from error


def split_keys(keys: list[str]) -> Iterator[list[str]]:
    """Yield parts of a list of keys that fit into a datagram each."""
    for start in range(0, len(keys), KEYS_PER_DATAGRAM):
        yield keys[start : start + KEYS_PER_DATAGRAM]


def bundle(messages: Iterable[bytes]) -> Iterator[bytes]:
    """Yield datagrams that hold the given encoded messages.

    A message that is alone is not wrapped.
    """
    pending: list[bytes] = []
    size = 0
    for item in messages:
        if pending and size + len(item) > DATAGRAM_BYTES - BUNDLE_BYTES:
            yield _encode_bundle(pending)
            pending, size = [], 0
        pending.append(item)
        size += len(item) + ITEM_BYTES
    if pending:
        yield _encode_bundle(pending)


def _encode_bundle(items: list[bytes]) -> bytes:
    return items[0] if len(items) == 1 else encode(Bundle(items))
