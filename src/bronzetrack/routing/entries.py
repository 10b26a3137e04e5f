"""Which VM a caller should connect to."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import enum

import attrs

from bronzetrack.core import rendezvous


class EntryReason(enum.Enum):
    """Why a VM stands where it stands in the list."""

    OWNS_WARM_ENDPOINT = "owns_warm_endpoint"
    RENDEZVOUS = "rendezvous"


@attrs.frozen
class EntryAddress:
    """One row of the answer to a caller."""

    vm: str
    address: str
    reason: EntryReason


def rank_entries(
    addresses: Mapping[str, str], warm_owners: Collection[str], key: str
) -> list[EntryAddress]:
    """Return the VMs that serve, best first.

    :param addresses: caller address by VM, without VMs that are leaving
    :param warm_owners: VMs that own an endpoint with the adapter loaded
    :param key: spreads callers over VMs
    """
    ranked = rendezvous.rank_nodes(key, addresses)
    near = [vm for vm in ranked if vm in warm_owners]
    others = [vm for vm in ranked if vm not in warm_owners]
    return [
        *(
            _make_entry(addresses, vm, EntryReason.OWNS_WARM_ENDPOINT)
            for vm in near
        ),
        *(_make_entry(addresses, vm, EntryReason.RENDEZVOUS) for vm in others),
    ]


def _make_entry(
    addresses: Mapping[str, str], vm: str, reason: EntryReason
) -> EntryAddress:
    return EntryAddress(vm, addresses[vm], reason)
