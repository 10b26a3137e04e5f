"""Tests of the detection of members that exceed their share."""

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
def test_some_member_is_always_within_its_share(usage, contending, tolerance):
    """Guards against a result in which all members exceed their share."""
    over_share = shares.find_over_share(usage, RULES, contending, tolerance)
    assert over_share <= contending
    assert not contending or over_share < contending
    least = min(
        (usage.get(n, 0) / shares.get_weight(RULES, n) for n in contending),
        default=0,
    )
    for name in over_share:
        assert usage[name] / shares.get_weight(RULES, name) > least


def test_share_of_an_idle_member_is_available_to_others():
    """Guards against capacity reserved for a member without work."""
    usage = {"north": 1_000.0}
    assert not shares.find_over_share(usage, RULES, {"north"}, 0.02)
    over_share = shares.find_over_share(usage, RULES, {"north", "west"}, 0.02)
    assert over_share == {"north"}
