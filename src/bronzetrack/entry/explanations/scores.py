"""Scores of the endpoints of a service, by cost or by count."""

from __future__ import annotations

from collections.abc import Callable
import functools

import attrs

from bronzetrack.entry import board as boards
from bronzetrack.entry import endpoints
from bronzetrack.entry.costs import choice
from bronzetrack.entry.costs import estimates
from bronzetrack.entry.costs import switch
from bronzetrack.entry.explanations import odds
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.loads import placement


@attrs.frozen(eq=False)
class Scores:
    """How the choice scores and compares endpoints.

    :param compare: returns which of some drawn endpoints the choice takes
    :param score: returns the score by cost, `None` if the count decides
    """

    compare: odds.Compare
    score: Callable[[endpoints.Endpoint], choice.Scored] | None = None


def make_scores(
    board: boards.Blackboard,
    request: requests.Request,
    service: str,
    preferred: list[endpoints.Endpoint],
    balancing_input: placement.BalancingInput,
) -> Scores:
    """Return how the choice for a request scores endpoints.

    :param board: copy of the blackboard, which may be changed
    :param preferred: endpoints that the choice draws from
    """
    if not switch.applies(
        board.settings.by_cost, board.rules.value.find_service(service)
    ):
        return Scores(functools.partial(min, key=balancing_input.measure_load))
    state = board.costs.value
    demand = estimates.describe_request(request, state, balancing_input.now)
    cost_input = choice.CostInput(
        balancing_input,
        board.membership.value.work_ms,
        state,
        state.get_or_create(service),
    )
    keeper = (
        choice.find_keeper(preferred, demand, cost_input)
        if preferred
        else None
    )

    @functools.cache
    def score(endpoint: endpoints.Endpoint) -> choice.Scored:
        return choice.score_endpoint(endpoint, demand, keeper, cost_input)

    def compare(drawn: list[endpoints.Endpoint]) -> endpoints.Endpoint:
        return choice.compare_drawn(drawn, keeper, score, cost_input).endpoint

    return Scores(compare, score)
