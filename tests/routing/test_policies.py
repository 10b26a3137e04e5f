"""Tests of the routing policies."""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies

from bronzetrack.core import rendezvous
from bronzetrack.routing import candidates
from bronzetrack.routing import policies

CANDIDATES = strategies.lists(
    strategies.builds(
        candidates.Candidate,
        endpoint=strategies.sampled_from(("e1", "e2", "e3", "e4")),
        owner=strategies.just("vm"),
        slots=strategies.integers(1, 16),
        warm=strategies.booleans(),
        free_slots=strategies.integers(0, 16),
        queued=strategies.integers(0, 40),
        in_flight=strategies.integers(0, 20),
        report_age_ms=strategies.integers(0, 3_000),
        slow=strategies.booleans(),
        near=strategies.booleans(),
        senders=strategies.integers(1, 40),
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda item: item.endpoint,
)


def _score(item, position):
    weight = pow(0.5, item.report_age_ms / 300)
    reported = max(item.slots - item.free_slots + item.queued, item.in_flight)
    estimated = item.in_flight * min(item.senders, 16)
    score = (weight * reported + (1 - weight) * estimated) / item.slots
    score += 0.0 if item.warm else 2.0 + 0.1 * position
    score += 4.0 if item.slow else 0.0
    return score + (0.0 if item.near else 0.06)


@hypothesis.given(CANDIDATES, strategies.sampled_from(("a@1", "b@2")))
def test_choice_matches_exhaustive_search(items, adapter):
    """Guards against the selection of an endpoint without the lowest cost."""
    ranked = rendezvous.rank_nodes(adapter, [item.endpoint for item in items])
    chosen = policies.choose_balanced(items, adapter)
    best = _score(chosen, ranked.index(chosen.endpoint))
    for item in items:
        assert best <= _score(item, ranked.index(item.endpoint)) + 1e-9


def test_old_report_does_not_attract_all_vms(make_candidate):
    """Guards against many VMs that overload the same idle endpoint."""
    idle = make_candidate("idle", free_slots=16, in_flight=4)
    busy = make_candidate("busy", free_slots=8, in_flight=1)
    assert policies.choose_balanced([idle, busy], "a@1") is busy


@hypothesis.given(CANDIDATES, strategies.sampled_from(("a@1", "b@2")))
def test_ties_are_broken_by_rendezvous_order(items, adapter):
    """Guards against ties that are broken by name when a shortcut applies."""
    ranked = rendezvous.rank_nodes(adapter, [item.endpoint for item in items])
    equal = [attrs.evolve(items[0], endpoint=name) for name in ranked]
    for order in (equal, equal[::-1]):
        chosen = policies.choose_balanced(order, adapter)
        assert chosen.endpoint == ranked[0]


def test_ranking_is_not_shared_between_callers():
    """Guards against a caller that modifies a cached ranking."""
    nodes = ["e1", "e2", "e3"]
    ranked = rendezvous.rank_nodes("a@1", nodes)
    expected = sorted(
        nodes, key=lambda n: -rendezvous.compute_weight("a@1", n)
    )
    ranked.clear()
    assert rendezvous.rank_nodes("a@1", nodes) == expected
