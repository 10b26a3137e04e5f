"""What a plan for one endpoint depends on besides its queue."""

from __future__ import annotations

import math

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.dispatch import placement as placements
from bronzetrack.limits import quotas as quota_views

DEFAULT_CLASS = rule_sets.ClassRule()


@attrs.frozen
class EndpointContext:
    """What a plan depends on besides the queue.

    :param leaving: whether the endpoint gets no new work
    :param may_start: whether work may be dispatched
    :param superseded: whether another VM may own the endpoint
    :param may_load: whether orders that evict nothing are allowed
    :param may_unload: whether orders that need the lease are allowed
    :param load_permits: loads that may start now
    :param usage: cost by member over all VMs
    :param quotas: warm quotas of the members
    :param may_prefetch: whether the store has loads to spare
    """

    endpoint: inventories.Endpoint
    rules: rule_sets.Rules
    may_load: bool
    may_unload: bool
    load_permits: int
    leaving: bool = False
    may_start: bool = True
    superseded: bool = False
    usage: dict[str, float] = attrs.field(factory=dict)
    placement: placements.Placement = attrs.field(factory=placements.Placement)
    quotas: quota_views.QuotaView = attrs.field(factory=quota_views.QuotaView)
    may_prefetch: bool = False


def get_class(rules: rule_sets.Rules, work_class: str) -> rule_sets.ClassRule:
    """Return the rule of a class, or the default after a rule was removed."""
    return rules.classes.get(work_class, DEFAULT_CLASS)


def count_slots(rule: rule_sets.ClassRule, slots: int) -> int:
    """Return how many slots of an endpoint a class may take."""
    return max(1, math.floor(slots * rule.slot_share))
