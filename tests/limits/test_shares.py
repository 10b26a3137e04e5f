"""Tests of the members ahead of their share."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from bronzetrack.configuration import rules as rule_sets
from bronzetrack.limits import shares

NAMES = ("north", "south", "west")
RULES = rule_sets.Rules(
    members={
        "north": rule_sets.MemberRule(weight=3.0),
        "south": rule_sets.MemberRule(weight=2.0),
    }
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(NAMES), strategies.floats(0, 1_000)
    ),
    strategies.sets(strategies.sampled_from(NAMES)),
    strategies.sampled_from((0.02, 0.1, 0.2)),
)
def test_someone_is_always_within_the_share(usage, contending, tolerance):
    """Guards against shares by which nobody may run."""
    ahead = shares.find_leaders(usage, RULES, contending, tolerance)
    assert ahead <= contending
    assert not contending or ahead < contending
    least = min(
        (usage.get(n, 0) / shares.get_weight(RULES, n) for n in contending),
        default=0,
    )
    for name in ahead:
        assert usage[name] / shares.get_weight(RULES, name) > least


def test_share_of_an_idle_member_is_lent():
    """Guards against capacity kept free for a member that asks nothing."""
    usage = {"north": 1_000.0}
    assert not shares.find_leaders(usage, RULES, {"north"}, 0.02)
    ahead = shares.find_leaders(usage, RULES, {"north", "west"}, 0.02)
    assert ahead == {"north"}
