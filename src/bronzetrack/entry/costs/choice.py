"""Choice of the endpoint with the earliest likely first event.

The rule is power of two choices: if all VMs took the endpoint with the least
work, all would take the same one until the next digest. A wrong estimate costs
little, as the chosen endpoint has hardly more requests in progress than the
one that the choice by counts would take.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import enum
import functools
import random

import attrs

from bronzetrack.core import rendezvous
from bronzetrack.entry import endpoints
from bronzetrack.entry.costs import estimates
from bronzetrack.entry.costs import state as states
from bronzetrack.entry.loads import placement

# Requests in progress by which a chosen endpoint may exceed the one that the
# counts would choose, as a share of its slots.
MAX_LOAD_EXCESS = 0.25
# Engines that keep at least this many tokens of a prompt are compared in
# addition to those drawn. Reading them takes longer than the usual wait.
MIN_KEPT_TOKENS = 1_000


class Rule(enum.Enum):
    """Why an endpoint was chosen.

    COUNT is the endpoint that the counts would choose too, COST another one
    drawn, KEPT one that was compared as it probably keeps parts of the prompt.
    BOUND means that the earliest endpoint had too many requests in progress.
    """

    COUNT = "count"
    COST = "cost"
    KEPT = "kept"
    BOUND = "bound"


@attrs.frozen(eq=False)
class Choice:
    """A chosen endpoint and the likely cost of the request there."""

    endpoint: endpoints.Endpoint
    estimate: estimates.Estimate
    rule: Rule


@attrs.frozen(eq=False)
class Scored:
    """An endpoint with its score in ms, and the estimate behind it."""

    score: float
    endpoint: endpoints.Endpoint
    estimate: estimates.Estimate


@attrs.frozen(eq=False)
class CostInput:
    """Input of a choice by cost.

    :param balancing: input of the choice by counts
    :param peers_work: work of the requests of other VMs by endpoint, in ms
    :param state: what this VM has learned
    :param service: the part of it for the service of the candidates
    """

    balancing: placement.BalancingInput
    peers_work: Mapping[str, float]
    state: states.CostState
    service: states.ServiceCosts

    def measure_ahead(self, endpoint: endpoints.Endpoint) -> float:
        """Return the work ahead of a new request, in ms of the endpoint.

        A request whose work is not known counts as a mean one, for instance
        while its connection is being opened, or where only the count of
        another VM has arrived.
        """
        identity, now = endpoint.identity, self.balancing.now
        mean_ms = self.service.estimate_work_ms(now)
        own = self.balancing.traffic.by_identity.get(identity)
        ledger = self.state.ledger
        unknown = (own.active if own else 0) - ledger.count(identity)
        work_ms = ledger.measure_left(identity, now)
        if identity in self.peers_work:
            work_ms += self.peers_work[identity]
        else:
            unknown += self.balancing.peers_active.get(identity, 0)
        work_ms += mean_ms * max(0, unknown)
        work_ms = max(work_ms, mean_ms * self.balancing.count_unseen())
        if self.service.is_full(identity, now):
            work_ms = max(work_ms, mean_ms * endpoint.capacity)
        return work_ms

    def measure_penalty(self, endpoint: endpoints.Endpoint) -> float:
        """Return what failures and a long way weigh, in ms."""
        full_ms = endpoint.capacity * self.service.estimate_work_ms(
            self.balancing.now
        )
        return full_ms * self.balancing.measure_penalty(endpoint)

    def is_allowed(
        self, endpoint: endpoints.Endpoint, by_count: endpoints.Endpoint
    ) -> bool:
        """Return whether an endpoint has few enough requests in progress.

        :param by_count: endpoint that the counts would choose
        """
        if endpoint is by_count:
            return True
        balancing = self.balancing
        active = balancing.count_active(endpoint)
        least = balancing.count_active(by_count)
        if active >= endpoint.capacity and least < by_count.capacity:
            return False
        if active > least + MAX_LOAD_EXCESS * endpoint.capacity:
            return False
        return (
            balancing.measure_load(endpoint)
            <= balancing.measure_load(by_count) + MAX_LOAD_EXCESS
        )


def choose_endpoint(
    candidates: list[endpoints.Endpoint],
    tried: frozenset[str],
    demand: estimates.Demand,
    cost_input: CostInput,
    generator: random.Random = placement.DEFAULT_GENERATOR,
) -> Choice | None:
    """Return the endpoint of two with the earlier likely first event.

    :param tried: ids of the endpoints that were already tried
    """
    balancing = cost_input.balancing
    preferred = placement.list_preferred(candidates, tried, balancing)
    drawn = placement.draw_endpoints(preferred, generator)
    if not drawn:
        return None
    keeper = find_keeper(preferred, demand, cost_input)
    score = functools.partial(
        score_endpoint, demand=demand, keeper=keeper, cost_input=cost_input
    )
    return compare_drawn(drawn, keeper, score, cost_input)


def compare_drawn(
    drawn: list[endpoints.Endpoint],
    keeper: endpoints.Endpoint | None,
    score: Callable[[endpoints.Endpoint], Scored],
    cost_input: CostInput,
) -> Choice:
    """Return the choice among the endpoints that were drawn.

    :param keeper: engine that is compared too, as it probably keeps much of
        the prompt
    :param score: returns the score of an endpoint
    """
    by_count = min(drawn, key=cost_input.balancing.measure_load)
    compared = drawn if keeper in (None, *drawn) else [*drawn, keeper]
    ranked = sorted(map(score, compared), key=lambda item: item.score)
    for position, scored in enumerate(ranked):
        if cost_input.is_allowed(scored.endpoint, by_count):
            break
    if scored.endpoint is by_count:
        rule = Rule.BOUND if position else Rule.COUNT
    else:
        rule = Rule.KEPT if scored.endpoint is keeper else Rule.COST
    return Choice(scored.endpoint, scored.estimate, rule)


def score_endpoint(
    endpoint: endpoints.Endpoint,
    demand: estimates.Demand,
    keeper: endpoints.Endpoint | None,
    cost_input: CostInput,
) -> Scored:
    """Return the score of an endpoint and the estimate behind it.

    :param keeper: engine that probably keeps much of the prompt, if any
    """
    found = estimates.estimate(
        demand,
        endpoint,
        cost_input.state,
        cost_input.service,
        cost_input.measure_ahead(endpoint),
        cost_input.balancing.now,
        endpoint is keeper,
    )
    score = found.first_ms + cost_input.measure_penalty(endpoint)
    return Scored(score, endpoint, found)


def find_keeper(
    preferred: list[endpoints.Endpoint],
    demand: estimates.Demand,
    cost_input: CostInput,
) -> endpoints.Endpoint | None:
    """Return the engine that probably keeps much of a prompt, if any.

    In a large fleet, a VM has rarely sent the same parts lately. All VMs then
    agree on an engine by the hash of the parts. If it does not keep them, it
    has to read them like any other, and keeps them from then on.
    """
    if demand.shared_tokens < MIN_KEPT_TOKENS:
        return None
    kept = cost_input.state.kept
    keepers = [
        item
        for item in preferred
        if kept.count_kept(item.identity, item.start, demand.chain)
        >= MIN_KEPT_TOKENS
    ]
    if keepers:
        return min(keepers, key=cost_input.balancing.measure_load)
    by_name = {item.identity: item for item in preferred}
    return by_name[rendezvous.rank_nodes(demand.shared, by_name)[0]]
