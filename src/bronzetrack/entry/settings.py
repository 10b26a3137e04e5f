"""Settings of an entry VM, from an INI file."""

from __future__ import annotations

from collections.abc import Callable
import configparser
import pathlib

import attrs

from bronzetrack.core import errors


class SettingsError(errors.BronzetrackError):
    """Settings that cannot be used; all mistakes are listed."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


@attrs.frozen
class Settings:
    """What a VM is told at its start.

    :param front: address for callers
    :param readiness: address for checks whether the VM is ready
    :param directory: address that tells callers which VMs to use
    :param operators: address for the state dump
    :param metrics: address for metrics
    :param peer_port: UDP port for the other VMs
    :param grace_s: time from the signal to stop until the process is killed
    :param retry_ratio: repeats for each request, over all VMs
    :param retry_slack: repeats besides, over all VMs
    :param engines_check_tokens: whether engines refuse orders with a fencing
        token lower than one that they have seen
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

    @property
    def peer_address(self) -> str:
        """Address for the other VMs."""
        return f"{self.peer_ip}:{self.peer_port}"


# Settings that a reload puts in force; others need a restart. VMs that differ
# in the time of the lease could hold it together.
LIVE_FIELDS = (
    "grace_s",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "entry_ttl_s",
    "engines_check_tokens",
)


def merge_reloaded(
    current: Settings, found: Settings
) -> tuple[Settings, list[str]]:
    """Return the settings in force after a reload.

    :param found: the settings of the file now
    :returns: the settings, and the names of changes that need a restart
    """
    live = {name: getattr(found, name) for name in LIVE_FIELDS}
    merged = attrs.evolve(current, **live)
    waiting = [
        field.name
        for field in attrs.fields(Settings)
        if getattr(merged, field.name) != getattr(found, field.name)
    ]
    return merged, waiting


def _parse_switch(raw: str = "false") -> bool:
    """Return a setting that is on or off."""
    states = configparser.ConfigParser.BOOLEAN_STATES
    if raw.lower() not in states:
        raise ValueError(f"neither true nor false: {raw!r}")
    return states[raw.lower()]


def load_settings(file: pathlib.Path) -> Settings:
    """Return the settings in a file.

    :raises SettingsError: with every mistake
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError([f"cannot be read: {error}"]) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Return the settings in a text.

    :raises SettingsError: with every mistake
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError([str(error)]) from error
    mistakes: list[str] = []

    def take(
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

    ports = str(take("peers", "ports", str)).split(",")
    values = {
        "vm": take("vm", "name", str),
        "zone": take("vm", "availability_zone", str),
        "region": take("vm", "region", str),
        "front": take("listen", "callers", str),
        "readiness": take("listen", "readiness", str),
        "directory": take("listen", "directory", str),
        "operators": take("listen", "operators", str),
        "metrics": take("listen", "metrics", str),
        "peer_ip": take("peers", "ip", str),
        "store": take("store", "address", str),
        "grace_s": take("limits", "grace_s", float),
        "lease_s": take("limits", "lease_ms", float) / 1000,
        "retry_ratio": take("limits", "retry_ratio", float),
        "retry_slack": take("limits", "retry_slack", float),
        "retry_window_s": take("limits", "retry_window_s", float),
        "entry_ttl_s": take("limits", "entry_ttl_s", float),
        "engines_check_tokens": take(
            "limits", "engines_check_tokens", _parse_switch, "false"
        ),
    }
    if not ports[0].strip().isdigit():
        mistakes.append("[peers] ports: not a port")
    if mistakes:
        raise SettingsError(mistakes)
    return Settings(peer_port=int(ports[0]), **values)
