"""Estimate of what a request costs at an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from bronzetrack.entry.costs import parts
from bronzetrack.entry.costs import state as states

if TYPE_CHECKING:
    from bronzetrack.entry import endpoints
    from bronzetrack.entry.forwarding import requests


@attrs.frozen(eq=False)
class Estimate:
    """Likely cost of a request at an endpoint.

    :param first_ms: time from the send to the first event, or to the answer
        if it is no stream
    :param ahead_ms: work ahead of the request, in ms of the endpoint
    :param read_ms: work until the first event, in ms of the endpoint
    :param write_ms: work after it, in ms of the endpoint
    :param unread: expected number of prompt tokens that the endpoint reads
    :param least_unread: the same if it keeps what other VMs may have sent
    :param most_unread: the same if it keeps only what this VM sent
    :param events: expected number of events, 0 if the answer is no stream
    :param duration_ms: expected time of an answer that is no stream
    """

    first_ms: float
    ahead_ms: float
    read_ms: float
    write_ms: float
    unread: float = 0.0
    least_unread: int = 0
    most_unread: int = 0
    events: float = 0.0
    duration_ms: float = 0.0

    @property
    def work_ms(self) -> float:
        """Work of the request, in ms of the endpoint."""
        return self.read_ms + self.write_ms


@attrs.frozen(eq=False)
class Demand:
    """What the cost of a request depends on, the same at all endpoints.

    :param is_prompt: whether engines read a prompt and write events
    :param chain: parts of the prompt
    :param shared: text that stands for the parts that other requests share
    :param shared_tokens: number of their tokens
    :param events: expected number of events
    :param duration_ms: expected time of an answer that is no stream
    """

    is_prompt: bool
    prompt_tokens: int = 0
    chain: parts.Chain = ()
    shared: str = ""
    shared_tokens: int = 0
    events: float = 0.0
    duration_ms: float = 0.0


def count_announced(request: requests.Request) -> int:
    """Return the tokens that a request says its answer will have."""
    return request.length_hint or request.output_tokens or 1


def describe_request(
    request: requests.Request, state: states.CostState, now: float
) -> Demand:
    """Return what the cost of a request depends on."""
    route = request.route.name if request.route is not None else ""
    model_key = request.model_key
    if model_key is None:
        duration_ms = state.answer_ms.estimate(
            route, states.PRIOR_ANSWER_MS, now
        )
        return Demand(False, duration_ms=duration_ms)
    stated = sum(tokens for _, tokens in request.prompt_parts)
    ratio = state.estimate_length(route, request.adapter, now)
    # The last part belongs to the request itself or to its session.
    shared_parts = request.prompt_parts[:-1]
    return Demand(
        True,
        max(request.prompt_tokens, stated),
        parts.make_chain(model_key, request.prompt_parts),
        "/".join((*model_key, *(part for part, _ in shared_parts))),
        sum(tokens for _, tokens in shared_parts),
        max(1.0, count_announced(request) * ratio),
    )


def estimate(
    demand: Demand,
    endpoint: endpoints.Endpoint,
    state: states.CostState,
    service: states.ServiceCosts,
    ahead_ms: float,
    now: float,
    is_home: bool = False,
) -> Estimate:
    """Return the likely cost of a request at an endpoint.

    An engine reads one prompt at a time with all that it has, and writes the
    events of as many requests as it runs at a time together.

    :param ahead_ms: work ahead of the request, in ms of the endpoint
    :param is_home: whether all VMs send these shared parts to the endpoint
        first, so that it probably keeps them
    """
    slots = max(1, endpoint.capacity)
    speed = service.estimate_speed(endpoint.identity, now)
    if not demand.is_prompt:
        duration_ms = speed * demand.duration_ms
        return Estimate(
            first_ms=ahead_ms + duration_ms,
            ahead_ms=ahead_ms,
            read_ms=0.0,
            write_ms=duration_ms / slots,
            duration_ms=duration_ms,
        )
    kept = state.kept.count_kept(
        endpoint.identity, endpoint.start, demand.chain
    )
    most_unread = least_unread = max(0, demand.prompt_tokens - kept)
    if is_home:
        kept = max(kept, demand.shared_tokens)
        least_unread = max(0, demand.prompt_tokens - kept)
    saved = service.estimate_home_hits(now) * (most_unread - least_unread)
    unread = most_unread - saved
    model = service.first_events.fit()
    event_ms = speed * service.estimate_event_ms(now)
    return Estimate(
        first_ms=model.estimate(speed * unread, ahead_ms),
        ahead_ms=ahead_ms,
        read_ms=speed * model.token_ms * unread,
        write_ms=demand.events * event_ms / slots,
        unread=unread,
        least_unread=least_unread,
        most_unread=most_unread,
        events=demand.events,
    )
