"""Detection of members that exceed their voted share of capacity."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from bronzetrack.configuration import rules as rule_sets

# Allowed excess over the share of another member, as a fraction of all recent
# cost. Without the tolerance per rank, a duty pilot of a member with a small
# excess waited 2.6 s behind safety reviews of other members. With 0.2 per
# rank, the error of the shares exceeded 5%.
TOLERANCE = 0.02
RANK_TOLERANCE = 0.08
MAX_TOLERANCE = 0.2


def get_weight(rules: rule_sets.Rules, member: str) -> float:
    """Return the voted weight of a member, or 1 if it has no rule."""
    rule = rules.members.get(member)
    return 1.0 if rule is None else rule.weight


def get_tolerance(rank_distance: int) -> float:
    """Return the allowed excess for work of a class rank.

    :param rank_distance: difference between the highest rank of the waiting
        work and the rank of the class
    """
    return min(MAX_TOLERANCE, TOLERANCE + RANK_TOLERANCE * rank_distance)


def find_over_share(
    usage: Mapping[str, float],
    rules: rule_sets.Rules,
    contending: Iterable[str],
    tolerance: float,
) -> frozenset[str]:
    """Return the contending members that exceed their share.

    A member exceeds its share if its cost divided by its weight is above the
    lowest such value of the contending members by more than the tolerance.
    Members without waiting work do not count. Their share is available to the
    others until they have work again.

    :param usage: recent cost by member over all VMs
    :param contending: members with waiting work
    :param tolerance: the allowed excess as a fraction of the cost of all
        contending members
    """
    members = set(contending)
    if len(members) < 2:
        return frozenset()
    weights = {member: get_weight(rules, member) for member in members}
    weighted_usage = {
        member: usage.get(member, 0.0) / weight
        for member, weight in weights.items()
    }
    total = sum(usage.get(member, 0.0) for member in members)
    limit = min(weighted_usage.values()) + tolerance * total / sum(
        weights.values()
    )
    return frozenset(
        member for member, cost in weighted_usage.items() if cost > limit
    )
