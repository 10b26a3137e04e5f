"""Recent cost by member, with exponential decay.

Only work that started while work of another member waited is charged. The use
of capacity that no other member needed therefore does not count against a
member. When it was charged too, members that had used idle engines before a
load peak were served last during the peak.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

HALF_LIFE_MS = 10_000
NEGLIGIBLE_COST = 0.01


def decay(usage: Mapping[str, float], passed_ms: int) -> dict[str, float]:
    """Return the usage decayed for some time, without negligible costs."""
    factor = 0.5 ** (max(0, passed_ms) / HALF_LIFE_MS)
    return {
        member: cost * factor
        for member, cost in usage.items()
        if cost * factor > NEGLIGIBLE_COST
    }


def charge(
    usage: Mapping[str, float], member: str, cost: float
) -> dict[str, float]:
    """Return the usage with the cost of started work added for a member."""
    return {**usage, member: usage.get(member, 0.0) + cost}


def sum_usage(usages: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the sum of the usage of several VMs by member."""
    total: dict[str, float] = {}
    for member, cost in itertools.chain.from_iterable(
        usage.items() for usage in usages
    ):
        total[member] = total.get(member, 0.0) + cost
    return total
