"""Which members have had more than their voted share."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from bronzetrack.configuration import rules as rule_sets

# Leads over another member that are allowed, as a part of all recent cost.
# Without the part for ranks, a duty pilot of a member with a small lead waited
# 2.6 s behind safety reviews of others; with 0.2 a rank the error of the
# shares exceeded 5%.
TOLERANCE = 0.02
RANK_TOLERANCE = 0.08
MOST_TOLERANCE = 0.2


def get_weight(rules: rule_sets.Rules, member: str) -> float:
    """Return the voted weight of a member, 1 without a rule."""
    rule = rules.members.get(member)
    return 1.0 if rule is None else rule.weight


def get_tolerance(steps: int) -> float:
    """Return the allowed lead of work some ranks below the highest."""
    return min(MOST_TOLERANCE, TOLERANCE + RANK_TOLERANCE * steps)


def find_leaders(
    usage: Mapping[str, float],
    rules: rule_sets.Rules,
    contending: Iterable[str],
    tolerance: float,
) -> frozenset[str]:
    """Return the contending members that are ahead of another one.

    A member is ahead when its cost by weight exceeds that of the contending
    member with the least by the tolerance. Members that ask for nothing do
    not count, so that their share is lent, and taken back when they ask.

    :param usage: recent cost by member over all VMs
    :param tolerance: the allowed lead as a part of the cost of all of them
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
    limit = min(served.values()) + tolerance * total / sum(weights.values())
    return frozenset(
        member for member, amount in served.items() if amount > limit
    )
