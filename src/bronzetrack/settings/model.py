"""The settings of a daemon, by section of the INI file."""

from __future__ import annotations

from collections.abc import Callable
import enum
import ipaddress
from typing import Any

import attrs


class LogLevel(enum.Enum):
    """The lowest level of the lines that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class ValueType:
    """The type of the values of a setting.

    :param allowed: description of the allowed values, for error messages and
        the reference
    :param parse: converts the text of a setting to its value and raises
        ValueError for any other text
    """

    allowed: str
    parse: Callable[[str], Any]


def parse_name(text: str) -> str:
    """Return a name that is safe in paths, logs and headers.

    :raises ValueError: the text is not such a name
    """
    is_safe = text.isascii() and text.replace("-", "a").isalnum()
    if not is_safe or len(text) > 63:
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Return an `IP:port` address, with an IPv6 address in brackets.

    :raises ValueError: the text is not such an address
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit()) or len(port) > 5:
        raise ValueError(text)
    if not 0 < int(port) < 65_536:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses in a list separated by commas or white space.

    :raises ValueError: an item is not an address
    """
    return tuple(
        parse_address(item) for item in text.replace(",", " ").split()
    )


def parse_url(text: str) -> str:
    """Return a base URL whose host is an IP address.

    :raises ValueError: the text is not such a URL
    """
    scheme, separator, rest = text.partition("://")
    if scheme != "http" or not separator:
        raise ValueError(text)
    parse_address(rest.rstrip("/"))
    return text.rstrip("/")


def make_number(low: int, high: int) -> ValueType:
    """Return the type of a whole number from `low` to `high`."""

    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return ValueType(f"a whole number from {low} to {high}", parse)


def make_fraction(low: float, high: float) -> ValueType:
    """Return the type of a number from `low` to `high`."""

    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return ValueType(f"a number from {low:g} to {high:g}", parse)


NAME = ValueType("letters, digits and hyphens, 63 at most", parse_name)
ADDRESS = ValueType("an address IP:port or [IPv6]:port", parse_address)
ADDRESSES = ValueType(
    "addresses IP:port, separated by commas", parse_addresses
)
URL = ValueType("a base URL http://IP:port", parse_url)
LEVEL = ValueType(
    "one of " + ", ".join(level.value for level in LogLevel),
    lambda text: LogLevel(text.lower()),
)


def make_setting(
    value_type: ValueType, description: str, default: Any = attrs.NOTHING
) -> Any:
    """Return the attrs field of a setting.

    :param description: meaning of the setting, for the reference
    :param default: default value; without one the setting is required
    """
    return attrs.field(
        default=default,
        metadata={"kind": value_type, "description": description},
    )


@attrs.frozen
class VmSettings:
    """Which VM this is."""

    name: str = make_setting(
        NAME, "Name of this VM, unique among the daemons."
    )
    availability_zone: str = make_setting(
        NAME, "Availability zone of this VM."
    )


@attrs.frozen
class ListenSettings:
    """Addresses that the daemon listens on."""

    callers: str = make_setting(
        ADDRESS, "Callers' requests and entry look-ups."
    )
    operators: str = make_setting(
        ADDRESS, "State dump, metrics and planned stops."
    )
    peers: str = make_setting(ADDRESS, "Streams from other daemons.")


@attrs.frozen
class PeerSettings:
    """How the daemon finds the others."""

    join: tuple[str, ...] = make_setting(
        ADDRESSES, "Peer addresses to join through.", ()
    )
    address: str = make_setting(
        ADDRESS,
        "Address that peers are told, if they reach this VM at another than"
        " `[listen] peers`.",
        "",
    )


@attrs.frozen
class PlatformSettings:
    """Services of the platform."""

    log_url: str = make_setting(URL, "Base URL of the log service.")
    vm_list_url: str = make_setting(URL, "Base URL of the list of VMs.")


@attrs.frozen
class StoreSettings:
    """Limits of the weight store."""

    loads_per_s: float = make_setting(
        make_fraction(0.1, 10_000), "Loads a second over all VMs.", 4.0
    )
    in_flight: int = make_setting(
        make_number(1, 100_000),
        "Loads in flight over all servers above which the store slows down.",
        16,
    )
    expected_vms: int = make_setting(
        make_number(1, 10_000),
        "Daemons that share the limits, with room for one replacement.",
        8,
    )


@attrs.frozen
class LimitSettings:
    """Bounds of this process."""

    # A body grows to at most three times its size when it is encoded as ASCII
    # for the endpoint, and has to fit into a frame of 1 MiB between VMs.
    body_bytes: int = make_setting(
        make_number(1_024, 327_680), "Largest body of a request.", 262_144
    )
    open_requests: int = make_setting(
        make_number(1, 1_000_000),
        "Callers' requests that may be in progress at this VM.",
        4_096,
    )
    open_body_bytes: int = make_setting(
        make_number(1_048_576, 1_073_741_824),
        "Bytes of bodies that requests in progress may hold at this VM.",
        67_108_864,
    )
    queue_requests: int = make_setting(
        make_number(1, 100_000),
        "Requests that may wait for one endpoint.",
        256,
    )
    request_timeout_ms: int = make_setting(
        make_number(100, 3_600_000),
        "Longest time from arrival to the last byte.",
        600_000,
    )
    body_timeout_ms: int = make_setting(
        make_number(100, 3_600_000),
        "Longest time from the head of a request to the end of its body.",
        30_000,
    )
    # Chunks are due every 52 ms. An engine may work on a long prompt for 1.5 s
    # without sending a chunk, or for 7.5 s when it runs five times slower.
    stream_silence_ms: int = make_setting(
        make_number(500, 600_000),
        "Time without a byte after which a streamed answer counts as lost.",
        10_000,
    )
    entry_ttl_s: int = make_setting(
        make_number(1, 3_600),
        "How long callers may keep the answer which VM to use.",
        30,
    )
    drain_ms: int = make_setting(
        make_number(0, 3_600_000),
        "Time without a request after which a stopping daemon exits.",
        1_000,
    )


@attrs.frozen
class LogSettings:
    """What is logged."""

    level: LogLevel = make_setting(LEVEL, "Lowest level.", LogLevel.INFO)


@attrs.frozen
class Settings:
    """All settings of a daemon."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    weight_store: StoreSettings = attrs.field(factory=StoreSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    logging: LogSettings = attrs.field(factory=LogSettings)
