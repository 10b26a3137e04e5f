"""What would become of a request at a service of its route."""

from __future__ import annotations

import attrs

from bronzetrack.entry import board as boards
from bronzetrack.entry import endpoints
from bronzetrack.entry import shutdown
from bronzetrack.entry.admission import gate as gates
from bronzetrack.entry.admission.shares import gate as share_gates
from bronzetrack.entry.explanations import answers
from bronzetrack.entry.explanations import candidates
from bronzetrack.entry.explanations import exclusions
from bronzetrack.entry.explanations import scores
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import progress as progresses
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.forwarding import selection
from bronzetrack.entry.loads import placement

# Endpoints in an answer, which bounds its size.
MAX_CANDIDATES = 128
OUTSIDE_SHARE = failures.Failure(
    failures.Reason.OVERLOADED,
    "the request is outside the share that is admitted now",
)
NO_ENDPOINT = failures.Failure(
    failures.Reason.NO_ENDPOINT, "the service has no endpoint"
)


@attrs.frozen(eq=False)
class Search:
    """The steps of the search for an endpoint.

    :param listed: endpoints of the service
    :param holders: those that hold what the request needs
    :param eligible: those of them that have memory for it
    :param open: those of them that it may be sent to now
    :param preferred: those of them that the choice draws from
    """

    listed: list[endpoints.Endpoint]
    holders: list[endpoints.Endpoint]
    eligible: list[endpoints.Endpoint]
    open: list[endpoints.Endpoint]
    preferred: list[endpoints.Endpoint]
    copies: answers.Copies | None = None
    wait: answers.Wait | None = None


def explain_service(
    board: boards.Blackboard,
    request: requests.Request,
    service: str,
    probability: float,
    now: float,
) -> answers.ServiceAnswer:
    """Return what would become of a request at a service.

    :param board: copy of the blackboard, which is changed
    :param probability: probability that the route chooses the service
    """
    balancing = selection.make_balancing_input(board, service, now)
    gate = gates.AdmissionGate(board, lambda: now)
    search = _search(board, request, service, balancing, gate)
    share = share_gates.ShareGate(board, lambda: now).preview(request, service)
    failure = _find_failure(board, request, search, balancing, share)
    outcome, detail = _describe_outcome(request, search, failure)
    found_scores = scores.make_scores(
        board, request, service, search.preferred, balancing
    )
    situation = exclusions.Situation(
        request=request,
        version=search.copies.version if search.copies else None,
        balancing=balancing,
        has_memory=lambda item: gate.has_memory(request, item, now),
        starts=_list_starts(board),
        eligible=_list_ids(search.eligible),
        open=_list_ids(search.open),
        preferred=_list_ids(search.preferred),
    )
    unlisted = [
        item
        for item in board.endpoints.value.unlisted.values()
        if item.service == service
    ]
    described = candidates.describe_candidates(
        [*search.listed, *unlisted], situation, found_scores
    )
    return answers.ServiceAnswer(
        service=service,
        probability=probability,
        is_by_cost=found_scores.score is not None,
        outcome=outcome,
        detail=detail,
        candidates=tuple(described[:MAX_CANDIDATES]),
        omitted=max(0, len(described) - MAX_CANDIDATES),
        failure=failure,
        share=share,
        wait=search.wait,
        copies=search.copies,
    )


def _search(
    board: boards.Blackboard,
    request: requests.Request,
    service: str,
    balancing: placement.BalancingInput,
    gate: gates.AdmissionGate,
) -> Search:
    """Return how far the search for an endpoint gets now.

    It follows `selection.EndpointSelector` for a request that was not sent
    before.
    """
    listed = board.endpoints.value.list_service(service)
    found = board.rules.value.find_service(service)
    model_key = request.model_key
    if model_key is None or found is None or found.engine is None:
        preferred = placement.list_preferred(listed, frozenset(), balancing)
        return Search(listed, listed, listed, listed, preferred)
    version = board.rules.value.versions.get(
        model_key, selection.FIRST_VERSION
    )
    holders = placement.list_holders(listed, model_key, version, balancing)
    needed = max(1, len(holders))
    if model_key[1] and holders:
        needed = selection.count_copies(board, holders, listed, balancing)
    eligible = [
        item
        for item in holders
        if gate.has_memory(request, item, balancing.now)
    ]
    # The gate counts requests that fit nowhere in a metric.
    progress = progresses.Progress(service)
    open_engines = (
        gate.filter_open(request, progress, eligible, balancing)
        if eligible
        else []
    )
    return Search(
        listed,
        holders,
        eligible,
        open_engines,
        placement.list_preferred(open_engines, frozenset(), balancing),
        answers.Copies(version, len(holders), needed),
        _describe_wait(board, request, progress, balancing.now),
    )


def _describe_wait(
    board: boards.Blackboard,
    request: requests.Request,
    progress: progresses.Progress,
    now: float,
) -> answers.Wait | None:
    """Return which requests want the engines that a request wants."""
    waiter = progress.waiter
    if waiter is None:
        return None
    others = sum(
        item is not waiter and bool(item.identities & waiter.identities)
        for item in board.admission.value.waiters.values()
    )
    return answers.Wait(
        others,
        max(0.0, waiter.retry_at - now) if waiter.is_blocked else 0.0,
        selection.limit_wait(request),
    )


def _find_failure(
    board: boards.Blackboard,
    request: requests.Request,
    search: Search,
    balancing: placement.BalancingInput,
    share: share_gates.Preview | None,
) -> failures.Failure | None:
    """Return why a request would be refused at once, if it would."""
    now = balancing.now
    if share is not None and not share.is_admitted:
        return OUTSIDE_SHARE
    schedule = board.lifecycle.value.schedule
    if not shutdown.may_send(schedule, request.deadline, now):
        return failures.STOPPING
    if search.listed and not any(
        item.is_usable(now) for item in search.listed
    ):
        return NO_ENDPOINT
    return selection.check_pauses(request, search.listed, balancing)


def _describe_outcome(
    request: requests.Request,
    search: Search,
    failure: failures.Failure | None,
) -> tuple[answers.Outcome, str]:
    """Return what would become of a request, with a detail for people."""
    if failure is not None:
        return answers.Outcome.REFUSED, failure.detail
    if search.preferred:
        return answers.Outcome.SENT, "an endpoint takes it now"
    if not search.listed:
        limit_s = selection.limit_startup_wait(request)
        detail = "no endpoint of the service is known"
    else:
        limit_s = selection.limit_wait(request)
        detail = _describe_obstacle(search)
    return answers.Outcome.WAITS, f"{detail}; it waits up to {limit_s:.2f} s"


def _describe_obstacle(search: Search) -> str:
    """Return why none of the endpoints takes a request now."""
    if search.copies is None:
        return "no endpoint is reachable"
    if not search.holders:
        return "no reachable engine holds the adapter, so it is loaded"
    if not search.eligible:
        return "no engine that holds the adapter has memory for it"
    return "the engines that hold the adapter are full"


def _list_ids(items: list[endpoints.Endpoint]) -> frozenset[str]:
    return frozenset(item.identity for item in items)


def _list_starts(board: boards.Blackboard) -> dict[str, int]:
    """Return the latest start at each address, in Unix milliseconds."""
    latest: dict[str, int] = {}
    for item in board.endpoints.value.by_identity.values():
        known = latest.get(item.address, 0)
        latest[item.address] = max(known, item.started_ms)
    return latest
