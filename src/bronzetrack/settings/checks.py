"""Checks that compare settings with each other."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import ipaddress
from typing import Any

from bronzetrack.core import registry
from bronzetrack.settings import mistakes
from bronzetrack.settings import model

# Values by section and key. Values that are invalid by themselves are absent.
Values = Mapping[tuple[str, str], Any]
Check = Callable[[Values], Iterator[mistakes.Mistake]]

CHECKS: registry.Registry[Check] = registry.Registry("settings checks")

LISTENERS = ("callers", "operators", "peers")


def find_conflicts(values: Values) -> list[mistakes.Mistake]:
    """Return the mistakes in combinations of valid values."""
    return [
        mistake for _, check in CHECKS.items() for mistake in check(values)
    ]


def _list_listeners(values: Values) -> dict[str, str]:
    return {
        key: values["listen", key]
        for key in LISTENERS
        if ("listen", key) in values
    }


@CHECKS.register("listeners_differ")
def check_listeners(values: Values) -> Iterator[mistakes.Mistake]:
    """Find addresses that more than one listener uses."""
    seen: dict[str, str] = {}
    for key, address in _list_listeners(values).items():
        if address in seen:
            yield mistakes.make_invalid(
                "listen",
                key,
                address,
                f"already used by [listen] {seen[address]};"
                " each listener needs its own address",
            )
        seen.setdefault(address, key)


@CHECKS.register("listeners_reachable")
def check_hosts(values: Values) -> Iterator[mistakes.Mistake]:
    """Find addresses that callers and peers could not connect to.

    These addresses are advertised to callers and peers as they are written in
    the file.
    """
    advertised = {
        ("listen", key): address
        for key, address in _list_listeners(values).items()
    }
    if values.get(("peers", "address")):
        advertised["peers", "address"] = values["peers", "address"]
    for (section, key), address in advertised.items():
        host = ipaddress.ip_address(address.rpartition(":")[0].strip("[]"))
        if host.is_unspecified or host.is_multicast:
            yield mistakes.make_invalid(
                section,
                key,
                address,
                "this address is advertised to callers and peers;"
                " it must be the address of one interface",
            )


@CHECKS.register("join_peers_only")
def check_join(values: Values) -> Iterator[mistakes.Mistake]:
    """Find addresses to join that belong to this VM or are repeated."""
    join = values.get(("peers", "join"), ())
    own = {
        address: key
        for key, address in _list_listeners(values).items()
        if key != "peers"
    }
    for index, address in enumerate(join):
        if address in own:
            yield mistakes.make_invalid(
                "peers",
                "join",
                address,
                f"is [listen] {own[address]} of this VM;"
                " specify the peer addresses of other VMs",
            )
        if address in join[:index]:
            yield mistakes.make_invalid(
                "peers", "join", address, "given twice; remove one of them"
            )


@CHECKS.register("platform_elsewhere")
def check_platform(values: Values) -> Iterator[mistakes.Mistake]:
    """Find platform services with an address of this daemon."""
    own = {address: key for key, address in _list_listeners(values).items()}
    for key in ("log_url", "vm_list_url"):
        url = values.get(("platform", key), "")
        address = url.removeprefix("http://")
        if address in own:
            yield mistakes.make_invalid(
                "platform",
                key,
                url,
                f"is the address of [listen] {own[address]};"
                " specify the address of the platform's service",
            )


@CHECKS.register("store_divides")
def check_store(values: Values) -> Iterator[mistakes.Mistake]:
    """Find a number of VMs that exceeds the number of loads in flight.

    Each VM gets a whole number as its share of the loads in flight. A share
    of less than one load would either stop all loads or exceed the limit of
    the store.
    """
    store = model.StoreSettings()
    in_flight = values.get(("weight_store", "in_flight"), store.in_flight)
    vms = values.get(("weight_store", "expected_vms"), store.expected_vms)
    if vms > in_flight:
        yield mistakes.make_invalid(
            "weight_store",
            "expected_vms",
            str(vms),
            f"must be at most [weight_store] in_flight, which is {in_flight}",
        )
