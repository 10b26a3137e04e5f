"""Which members have had more than their voted share."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from bronzetrack.configuration import rules as rule_sets

# Below this part of its share, a lead says nothing: one long request costs
# as much as several seconds of short ones.
TOLERANCE = 0.05


def get_weight(rules: rule_sets.Rules, member: str) -> float:
    """Return the voted weight of a member, 1 without a rule."""
    rule = rules.members.get(member)
    return 1.0 if rule is None else rule.weight


def find_leaders(
    usage: Mapping[str, float],
    rules: rule_sets.Rules,
    contending: Iterable[str],
) -> frozenset[str]:
    """Return the contending members that are ahead of another one.

    A member is ahead when its cost by weight exceeds that of the contending
    member with the least by the tolerance. Members that ask for nothing do
    not count, so that their share is lent, and taken back when they ask.

    :param usage: recent cost by member over all VMs
    """
    members = set(contending)
    if len(members) < 2:
        return frozenset()
    weights = {member: get_weight(rules, member) for member in members}
    served = {
        member: usage.get(member, 0.0) / weight
        for member, weight in weights.items()
    }
    total = sum(usage.get(member, 0.0) for member in members)
    limit = min(served.values()) + TOLERANCE * total / sum(weights.values())
    return frozenset(
        member for member, amount in served.items() if amount > limit
    )
