"""Ranking of the entry VMs that a caller may connect to."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import enum

import attrs

from bronzetrack.core import rendezvous


class EntryReason(enum.Enum):
    """Reasons for the position of a VM in the list."""

    OWNS_WARM_ENDPOINT = "owns_warm_endpoint"
    RENDEZVOUS = "rendezvous"


@attrs.frozen
class EntryAddress:
    """One entry VM in the answer to a caller.

    :param address: address of the VM for callers
    :param reason: why the VM has its position in the list
    """

    vm: str
    address: str
    reason: EntryReason


def rank_entries(
    addresses: Mapping[str, str], warm_owners: Collection[str], key: str
) -> list[EntryAddress]:
    """Return the serving VMs, most suitable first.

    :param addresses: caller address by VM, without VMs that are leaving
    :param warm_owners: VMs that own an endpoint with the adapter loaded
    :param key: rendezvous key that distributes callers over the VMs
    """
    ranked = rendezvous.rank_nodes(key, addresses)
    warm = [vm for vm in ranked if vm in warm_owners]
    others = [vm for vm in ranked if vm not in warm_owners]
    return [
        *(
            _make_entry(addresses, vm, EntryReason.OWNS_WARM_ENDPOINT)
            for vm in warm
        ),
        *(_make_entry(addresses, vm, EntryReason.RENDEZVOUS) for vm in others),
    ]


def _make_entry(
    addresses: Mapping[str, str], vm: str, reason: EntryReason
) -> EntryAddress:
    return EntryAddress(vm, addresses[vm], reason)
