"""Warm quotas: how many adapter versions a member may keep loaded.

Every VM counts loaded versions from the heartbeats, so loads of the last
second may exceed a quota. One VM then evicts the excess.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from bronzetrack.configuration import rules as rule_sets


@attrs.frozen
class QuotaView:
    """Holds the usage of the warm quotas over all VMs.

    :param room: number of versions that a member may still load; members
        without a rule are absent and have no quota
    :param excess: number of versions that this VM has to evict, by member
    :param members: the member of each loaded adapter version
    """

    room: Mapping[str, int] = attrs.field(factory=dict)
    excess: Mapping[str, int] = attrs.field(factory=dict)
    members: Mapping[str, str] = attrs.field(factory=dict)

    def has_room(self, member: str) -> bool:
        """Return whether a member may load one more version."""
        return self.room.get(member, 1) > 0

    def filter_adapters(
        self, adapters: Iterable[str], member: str
    ) -> list[str]:
        """Return the given adapter versions that belong to a member."""
        return [name for name in adapters if self.members.get(name) == member]


def compute_quota_view(
    rules: Mapping[str, rule_sets.MemberRule],
    loaded: Mapping[str, Iterable[str]],
    members: Mapping[str, str],
    vm: str,
) -> QuotaView:
    """Return the quota view of one VM.

    :param rules: rules by member
    :param loaded: adapter versions that the endpoints of each VM have loaded,
        with one entry per copy
    :param members: the member of each adapter version
    :param vm: name of the VM
    """
    counts = {
        name: _count_adapters_by_member(adapters, members)
        for name, adapters in loaded.items()
    }
    totals = {
        member: sum(count.get(member, 0) for count in counts.values())
        for member in rules
    }
    excess_counts = {
        member: total - rules[member].warm_adapters
        for member, total in totals.items()
        if total > rules[member].warm_adapters
    }
    return QuotaView(
        room={
            member: max(0, rules[member].warm_adapters - total)
            for member, total in totals.items()
        },
        excess={
            member: count
            for member, count in excess_counts.items()
            if _choose_evictor(counts, member) == vm
        },
        members=members,
    )


def _count_adapters_by_member(
    adapters: Iterable[str], members: Mapping[str, str]
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for adapter in adapters:
        member = members.get(adapter, "")
        counts[member] = counts.get(member, 0) + 1
    return counts


def _choose_evictor(
    counts: Mapping[str, Mapping[str, int]], member: str
) -> str:
    """Return the VM that evicts for a member.

    This is the VM with the most loaded adapter copies of the member. If every
    VM evicted, the excess would be evicted once per VM.
    """
    return max(counts, key=lambda vm: (counts[vm].get(member, 0), vm))
