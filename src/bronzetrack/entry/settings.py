"""Settings of an entry VM, read from an INI file."""

from __future__ import annotations

from collections.abc import Callable
import configparser
import math
import pathlib

import attrs

from bronzetrack.core import errors
from bronzetrack.entry import switches
from bronzetrack.transport import account
from bronzetrack.transport import limits

# Bandwidth of the network link if the settings state none.
DEFAULT_LINK_MBPS = 10.0
# The process needs about 40 MB without requests.
MIN_MEMORY_MB = 64
MAX_MEMORY_MB = 1_000_000
# The process has about 15 descriptors open without requests.
MIN_FDS = 64


class SettingsError(errors.BronzetrackError):
    """Settings that are invalid.

    :param mistakes: every mistake that was found
    """

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


@attrs.frozen
class Settings:
    """Settings of one entry VM.

    :param front: listen address for callers, which is also announced to them
    :param readiness: listen address for readiness checks
    :param directory: listen address of the directory of entry VMs
    :param operators: listen address for the state dump
    :param metrics: listen address for metrics
    :param peer_ip: IP address for datagrams of the other VMs
    :param peer_port: UDP port for datagrams of the other VMs
    :param store: address of the store
    :param grace_s: time from the signal to stop until the process is killed
    :param lease_s: duration of the lease of the VM that gives orders
    :param retry_ratio: retries allowed per request, over all VMs
    :param retry_slack: retries allowed in addition, over all VMs
    :param retry_window_s: length of the sliding window of the retry budget
    :param entry_ttl_s: longest time for which callers may keep an answer of
        the directory
    :param engines_check_tokens: whether engines refuse orders with a fencing
        token lower than one that they have seen
    :param link_mbps: bandwidth of the VM's network link, in Mbit/s
    :param responses: size limits of the answers of endpoints
    :param machine: memory and descriptors of the machine
    :param by_cost: which services are routed by cost
    :param admission: whether admission control applies
    """

    vm: str
    zone: str
    region: str
    front: str
    readiness: str
    directory: str
    operators: str
    metrics: str
    peer_ip: str
    peer_port: int
    store: str
    grace_s: float
    lease_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    entry_ttl_s: float
    engines_check_tokens: bool = False
    link_mbps: float = DEFAULT_LINK_MBPS
    responses: limits.ResponseLimits = limits.DEFAULT
    machine: account.Machine = account.Machine()
    by_cost: switches.Mode = switches.Mode.AUTO
    admission: switches.Mode = switches.Mode.AUTO

    @property
    def link_bytes_per_s(self) -> float:
        """Bandwidth of the VM's network link, in bytes a second."""
        return self.link_mbps * 1e6 / 8

    @property
    def peer_address(self) -> str:
        """Address for datagrams of the other VMs."""
        return f"{self.peer_ip}:{self.peer_port}"


# Settings that a reload applies; all others need a restart. Among the latter
# is the duration of the lease: two VMs with different durations could hold the
# lease at the same time.
RELOADABLE_FIELDS = (
    "grace_s",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "entry_ttl_s",
    "engines_check_tokens",
    "responses",
    "by_cost",
    "admission",
)


def merge_reloaded(
    current: Settings, found: Settings
) -> tuple[Settings, list[str]]:
    """Merge reloaded settings into the current ones.

    :param found: settings that were read from the file
    :returns: the merged settings, and the names of changed settings that need
        a restart
    """
    reloaded = {name: getattr(found, name) for name in RELOADABLE_FIELDS}
    merged = attrs.evolve(current, **reloaded)
    need_restart = [
        field.name
        for field in attrs.fields(Settings)
        if getattr(merged, field.name) != getattr(found, field.name)
    ]
    return merged, need_restart


def _parse_bool(raw: str = "false") -> bool:
    """Parse a boolean setting.

    :raises ValueError: the text is no boolean
    """
    booleans = configparser.ConfigParser.BOOLEAN_STATES
    if raw.lower() not in booleans:
        raise ValueError(f"not a boolean: {raw!r}")
    return booleans[raw.lower()]


def _parse_bandwidth(raw: str = "1") -> float:
    """Parse a bandwidth.

    :raises ValueError: the text is no positive number
    """
    bandwidth = float(raw)
    if not 0 < bandwidth < math.inf:
        raise ValueError(f"not a positive number: {raw!r}")
    return bandwidth


def _parse_size(raw: str = "1") -> int:
    """Parse a number of bytes or of things.

    :raises ValueError: the text is no positive whole number
    """
    if not raw.isdigit() or not int(raw):
        raise ValueError(f"not a positive whole number: {raw!r}")
    return int(raw)


def _parse_memory(raw: str = "64") -> int:
    """Parse the memory of a machine in MB, of which a fraction is dropped.

    :raises ValueError: the text is no number, or the process does not fit
    """
    size = float(raw)
    if not MIN_MEMORY_MB <= size <= MAX_MEMORY_MB:
        raise ValueError(
            f"not from {MIN_MEMORY_MB} to {MAX_MEMORY_MB} MB: {raw!r}"
        )
    return int(size)


def _parse_descriptors(raw: str = "64") -> int:
    """Parse a number of file descriptors.

    :raises ValueError: the text is no whole number, or too few
    """
    count = _parse_size(raw)
    if count < MIN_FDS:
        raise ValueError(f"fewer than {MIN_FDS}: {raw!r}")
    return count


def _parse_mode(raw: str = "auto") -> switches.Mode:
    """Parse where a behaviour applies.

    :raises ValueError: the text is none of the modes
    """
    return switches.Mode(raw.lower())


def load_settings(file: pathlib.Path) -> Settings:
    """Load the settings from a file.

    :raises SettingsError: the file cannot be read or has mistakes, which are
        all listed
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError([f"cannot be read: {error}"]) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parse the settings in a text.

    :raises SettingsError: the text has mistakes, which are all listed
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError([str(error)]) from error
    mistakes: list[str] = []

    def read_option(
        section: str, key: str, kind: Callable[..., object], default: str = ""
    ) -> object:
        raw = parser.get(section, key, fallback="").strip() or default
        try:
            if not raw:
                raise ValueError("missing")
            return kind(raw)
        except ValueError as error:
            mistakes.append(f"[{section}] {key}: {error}")
            return kind()

    ports = str(read_option("peers", "ports", str)).split(",")
    values = {
        "vm": read_option("vm", "name", str),
        "zone": read_option("vm", "availability_zone", str),
        "region": read_option("vm", "region", str),
        "front": read_option("listen", "callers", str),
        "readiness": read_option("listen", "readiness", str),
        "directory": read_option("listen", "directory", str),
        "operators": read_option("listen", "operators", str),
        "metrics": read_option("listen", "metrics", str),
        "peer_ip": read_option("peers", "ip", str),
        "store": read_option("store", "address", str),
        "grace_s": read_option("limits", "grace_s", float),
        "lease_s": read_option("limits", "lease_ms", float) / 1000,
        "retry_ratio": read_option("limits", "retry_ratio", float),
        "retry_slack": read_option("limits", "retry_slack", float),
        "retry_window_s": read_option("limits", "retry_window_s", float),
        "entry_ttl_s": read_option("limits", "entry_ttl_s", float),
        "engines_check_tokens": read_option(
            "limits", "engines_check_tokens", _parse_bool, "false"
        ),
        "link_mbps": read_option(
            "peers", "link_mbps", _parse_bandwidth, str(DEFAULT_LINK_MBPS)
        ),
        "by_cost": read_option("routing", "by_cost", _parse_mode, "auto"),
        "admission": read_option("routing", "admission", _parse_mode, "auto"),
        "responses": limits.ResponseLimits(
            **{
                field.name: read_option(
                    "limits",
                    f"response_{field.name}",
                    _parse_size,
                    str(field.default),
                )
                for field in attrs.fields(limits.ResponseLimits)
            }
        ),
        "machine": account.Machine(
            read_option(
                "machine",
                "memory_mb",
                _parse_memory,
                str(account.Machine().memory_mb),
            ),
            read_option(
                "machine",
                "max_fds",
                _parse_descriptors,
                str(account.Machine().max_fds),
            ),
        ),
    }
    if not ports[0].strip().isdigit():
        mistakes.append("[peers] ports: the first item is not a port number")
    if mistakes:
        raise SettingsError(mistakes)
    return Settings(peer_port=int(ports[0]), **values)
