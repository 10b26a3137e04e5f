"""Endpoints of a service with their scores, and what rules them out."""

from __future__ import annotations

from collections.abc import Iterable

from bronzetrack.entry import endpoints
from bronzetrack.entry.explanations import answers
from bronzetrack.entry.explanations import exclusions
from bronzetrack.entry.explanations import odds
from bronzetrack.entry.explanations import scores as score_functions


def describe_candidates(
    items: Iterable[endpoints.Endpoint],
    situation: exclusions.Situation,
    scores: score_functions.Scores,
) -> list[answers.Candidate]:
    """Return the endpoints of a service, the likely ones first."""
    items = list(items)
    preferred = [
        item for item in items if item.identity in situation.preferred
    ]
    probabilities = odds.measure_probabilities(preferred, scores.compare)
    return sorted(
        (_describe(item, situation, scores, probabilities) for item in items),
        key=_rank,
    )


def _rank(candidate: answers.Candidate) -> tuple[bool, float, float, str]:
    score = candidate.score_ms
    return (
        bool(candidate.exclusions),
        -(candidate.probability or 0.0),
        candidate.load if score is None else score,
        candidate.identity,
    )


def _describe(
    endpoint: endpoints.Endpoint,
    situation: exclusions.Situation,
    scores: score_functions.Scores,
    probabilities: dict[str, float] | None,
) -> answers.Candidate:
    balancing = situation.balancing
    identity = endpoint.identity
    own = balancing.traffic.by_identity.get(identity)
    is_preferred = identity in situation.preferred
    scored = scores.score(endpoint) if scores.score is not None else None
    estimate = scored.estimate if scored is not None else None
    if not is_preferred:
        probability: float | None = 0.0
    else:
        probability = probabilities[identity] if probabilities else None
    return answers.Candidate(
        identity=identity,
        zone=endpoint.zone,
        capacity=endpoint.capacity,
        active=balancing.count_active(endpoint),
        own_active=own.active if own is not None else 0,
        load=balancing.measure_load(endpoint),
        probability=probability,
        ahead_ms=estimate.ahead_ms if estimate else None,
        first_ms=estimate.first_ms if estimate else None,
        work_ms=estimate.work_ms if estimate else None,
        unread_tokens=estimate.unread if estimate else None,
        score_ms=scored.score if scored is not None else None,
        exclusions=(
            ()
            if is_preferred
            else tuple(exclusions.list_exclusions(situation, endpoint))
        ),
    )
