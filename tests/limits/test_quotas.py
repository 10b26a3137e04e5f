"""Tests of the warm quotas of members."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from bronzetrack.configuration import rules as rule_sets
from bronzetrack.limits import quotas

RULES = {"trust": rule_sets.MemberRule(warm_adapters=3)}
MEMBERS = {f"a{index}@1": "trust" for index in range(9)} | {"b@1": "other"}


@pytest.fixture
def compute_view():
    def run(loaded, vm="vm-0"):
        return quotas.compute_quota_view(RULES, loaded, MEMBERS, vm)

    return run


def test_member_at_its_quota_has_no_room(compute_view):
    """Guards against a member with more loaded versions than voted."""
    view = compute_view({"vm-0": ["a0@1", "b@1"], "vm-1": ["a1@1", "a1@1"]})
    assert not view.has_room("trust")
    assert view.has_room("other")


def test_member_below_its_quota_has_room(compute_view):
    """Guards against a quota that counts copies of other members."""
    view = compute_view({"vm-0": ["a0@1", "b@1"], "vm-1": ["a1@1", "b@1"]})
    assert view.room == {"trust": 1}
    assert view.excess == {}


@given(
    strategies.dictionaries(
        strategies.sampled_from(["vm-0", "vm-1", "vm-2"]),
        strategies.lists(strategies.sampled_from(sorted(MEMBERS))),
        min_size=1,
    )
)
def test_all_vms_together_evict_exactly_the_excess(loaded):
    """Guards against evictions of the same excess by several VMs."""
    copies = [name for names in loaded.values() for name in names]
    total = sum(MEMBERS[name] == "trust" for name in copies)
    evicted = sum(
        quotas.compute_quota_view(RULES, loaded, MEMBERS, vm).excess.get(
            "trust", 0
        )
        for vm in loaded
    )
    assert evicted == max(0, total - 3)
