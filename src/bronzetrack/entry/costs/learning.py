"""What an answer says about the cost of requests."""

from __future__ import annotations

import attrs

from bronzetrack.entry.costs import choice as choices
from bronzetrack.entry.costs import parts
from bronzetrack.entry.costs import state as states

# Answers with fewer events say little about the time between two.
MIN_EVENTS = 3


@attrs.frozen(eq=False)
class Answer:
    """A complete answer of an endpoint that was chosen by cost.

    :param model_key: model and adapter, `None` if the endpoint is no engine
    :param prompt_parts: id and number of tokens of each part of the prompt
    :param kv_tokens: memory of the engine in tokens
    :param announced: tokens that the request said the answer would have
    :param is_whole: whether the answer began with its first event
    :param first_ms: time from the send to the first event, or to the answer
        if it is no stream
    :param writing_ms: time from the first to the last event
    :param events: number of events, 0 if the answer is no stream
    """

    choice: choices.Choice
    route: str
    model_key: tuple[str, str] | None
    prompt_parts: tuple[tuple[str, int], ...]
    kv_tokens: int
    announced: int
    is_whole: bool
    first_ms: float
    writing_ms: float
    events: int


def learn(
    state: states.CostState, service_name: str, answer: Answer, now: float
) -> None:
    """Update what is known of costs after an answer."""
    service = state.get_or_create(service_name)
    service.work_ms.add(answer.choice.estimate.work_ms, now)
    if answer.model_key is None:
        _learn_plain(state, service, answer, now)
        return
    endpoint = answer.choice.endpoint
    chain = parts.make_chain(answer.model_key, answer.prompt_parts)
    state.kept.record(
        endpoint.identity, endpoint.start, chain, answer.kv_tokens
    )
    if answer.events:
        _learn_first_event(service, answer, now)
        _learn_events(state, service, answer, now)


def _learn_plain(
    state: states.CostState,
    service: states.ServiceCosts,
    answer: Answer,
    now: float,
) -> None:
    expected_ms = state.answer_ms.estimate(
        answer.route, states.PRIOR_ANSWER_MS, now
    )
    service.record_speed(
        answer.choice.endpoint.identity, answer.first_ms / expected_ms, now
    )
    state.answer_ms.add(answer.route, answer.first_ms, now)


def _learn_first_event(
    service: states.ServiceCosts, answer: Answer, now: float
) -> None:
    estimate = answer.choice.estimate
    unread, expected_ms = _tell_unread(service, answer)
    service.record_speed(
        answer.choice.endpoint.identity,
        answer.first_ms / max(1.0, expected_ms),
        now,
        states.FIRST_EVENT_WEIGHT,
    )
    if estimate.least_unread != estimate.most_unread:
        service.home_hits.add(float(unread == estimate.least_unread), now)
    service.first_events.add(unread, estimate.ahead_ms, answer.first_ms, now)


def _tell_unread(
    service: states.ServiceCosts, answer: Answer
) -> tuple[float, float]:
    """Return how many tokens were probably read, and the time for them.

    What other VMs sent to an engine is not known, but shows in the time.
    """
    estimate = answer.choice.estimate
    model = service.first_events.fit()
    expected = [
        (unread, model.estimate(unread, estimate.ahead_ms))
        for unread in (estimate.least_unread, estimate.most_unread)
    ]
    return min(expected, key=lambda item: abs(item[1] - answer.first_ms))


def _learn_events(
    state: states.CostState,
    service: states.ServiceCosts,
    answer: Answer,
    now: float,
) -> None:
    adapter = answer.model_key[1] if answer.model_key else ""
    if answer.is_whole:
        ratio = answer.events / answer.announced
        state.record_length(answer.route, adapter, ratio, now)
    if answer.events < MIN_EVENTS:
        return
    event_ms = answer.writing_ms / (answer.events - 1)
    service.record_speed(
        answer.choice.endpoint.identity,
        event_ms / max(0.1, service.estimate_event_ms(now)),
        now,
    )
    service.event_ms.add(event_ms, now)
