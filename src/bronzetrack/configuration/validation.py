"""Validation of the entries of a configuration and their references."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import ipaddress
import itertools
from typing import Any
from typing import TypeVar

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets

T = TypeVar("T")
# Names are written to headers of answers.
NAME_RULE = "a name has printable ASCII characters, is not empty"


def list_errors(
    inventory: inventories.Inventory,
    rules: rule_sets.Rules,
    delta: Mapping[str, Any] | None = None,
) -> tuple[str, ...]:
    """Return every validation error, one line each.

    :param delta: the change that turned a valid inventory into this one; only
        entries that the change can have made invalid are checked
    """
    return (
        *list_inventory_errors(inventory, delta),
        *list_rule_errors(rules),
        *_check_members(inventory, rules),
    )


def list_inventory_errors(
    inventory: inventories.Inventory,
    delta: Mapping[str, Any] | None = None,
) -> tuple[str, ...]:
    """Return the validation errors within an inventory.

    :param delta: see `list_errors`
    """
    # Any entry may refer to members and base models.
    if delta is not None and not {"members", "base_models"} & delta.keys():
        adapters = _select_entries(
            inventory.adapters, delta.get("adapters", ())
        )
        endpoints = _select_entries(
            inventory.endpoints, delta.get("endpoints", ())
        )
    else:
        adapters = inventory.adapters
        endpoints = inventory.endpoints
    return tuple(
        itertools.chain(
            _check_adapters(inventory, adapters),
            _check_endpoints(inventory, endpoints),
            _check_services(inventory),
        )
    )


def _select_entries(
    entries: Mapping[str, T], names: Iterable[str]
) -> dict[str, T]:
    return {name: entries[name] for name in names if name in entries}


def list_rule_errors(rules: rule_sets.Rules) -> tuple[str, ...]:
    """Return the validation errors within a rule set."""
    return tuple(_check_rules(rules))


def _check_adapters(
    inventory: inventories.Inventory,
    adapters: Mapping[str, inventories.Adapter],
) -> Iterator[str]:
    members = set(inventory.members)
    models = set(inventory.base_models)
    for name, adapter in adapters.items():
        place = f"adapters.{name}"
        if not _is_name(name) or "@" in name:
            yield f"{place}: {NAME_RULE}, and has no '@'"
        if not all(map(_is_name, adapter.versions)):
            yield f"{place}.versions: {NAME_RULE}"
        if adapter.owner not in members:
            yield f"{place}.owner: unknown member {adapter.owner!r}"
        if adapter.base_model not in models:
            yield f"{place}.base_model: unknown {adapter.base_model!r}"
        if adapter.current not in adapter.versions:
            yield f"{place}.current: {adapter.current!r} is not in versions"


def _check_endpoints(
    inventory: inventories.Inventory,
    endpoints: Mapping[str, inventories.Endpoint],
) -> Iterator[str]:
    for name, endpoint in endpoints.items():
        place = f"endpoints.{name}"
        if not _is_name(name):
            yield f"{place}: {NAME_RULE}"
        if not _is_ip(endpoint.host):
            yield f"{place}.host: {endpoint.host!r} is not an IP address"
        if not 0 < endpoint.port < 65_536:
            yield f"{place}.port: {endpoint.port} is not a port"
        if endpoint.slots < 1:
            yield f"{place}.slots: at least 1"
        if not endpoint.is_engine:
            continue
        if endpoint.base_model not in inventory.base_models:
            yield f"{place}.base_model: unknown {endpoint.base_model!r}"
        if endpoint.adapter_slots < 1:
            yield f"{place}.adapter_slots: at least 1"


def _check_services(inventory: inventories.Inventory) -> Iterator[str]:
    for name, service in inventory.services.items():
        place = f"services.{name}"
        if service.owner not in inventory.members:
            yield f"{place}.owner: unknown member {service.owner!r}"
        if not service.prefix.startswith("/services/"):
            yield f"{place}.prefix: must start with /services/"
        for endpoint in service.endpoints:
            if endpoint not in inventory.endpoints:
                yield f"{place}.endpoints: unknown endpoint {endpoint!r}"


def _check_members(
    inventory: inventories.Inventory, rules: rule_sets.Rules
) -> Iterator[str]:
    # An inventory may be published before the rules that name its members,
    # but a rule may not outlive its member.
    for name in rules.members:
        if name not in inventory.members:
            yield f"members.{name}: unknown member"


def _check_rules(rules: rule_sets.Rules) -> Iterator[str]:
    if rules.default_class not in rules.classes:
        yield f"default_class: unknown class {rules.default_class!r}"
    for name, member in rules.members.items():
        if not member.weight > 0:
            yield f"members.{name}.weight: more than 0"
        if member.warm_adapters < 0:
            yield f"members.{name}.warm_adapters: 0 or more"
    for name, rule in rules.classes.items():
        if not 0 < rule.slot_share <= 1:
            yield f"classes.{name}.slot_share: more than 0, at most 1"
        if rule.queue_timeout_ms <= 0:
            yield f"classes.{name}.queue_timeout_ms: more than 0"


def _is_name(text: str) -> bool:
    return text.isascii() and text.isprintable() and text.strip() != ""


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
