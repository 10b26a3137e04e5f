"""Decision what this VM would do with a request, which is not sent."""

from __future__ import annotations

from bronzetrack.entry import board as boards
from bronzetrack.entry import routes
from bronzetrack.entry.explanations import answers
from bronzetrack.entry.explanations import quotas
from bronzetrack.entry.explanations import services
from bronzetrack.entry.explanations import snapshots
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.peering import peers
from bronzetrack.entry.suspects import suspectkeys
from bronzetrack.entry.suspects import trials
from bronzetrack.entry.workspaces import authorization
from bronzetrack.entry.workspaces import workspaces


def explain(
    board: boards.Blackboard, request: requests.Request, now: float
) -> answers.Answer:
    """Return what would become of a request that arrived now.

    Nothing on the blackboard is changed, no random number is drawn, and
    nothing is logged or counted.
    """
    configuration = board.rules.value.configuration
    route = _find_route(board, request, now)
    if isinstance(route, failures.Failure):
        return _make_answer(board, now, failure=route)
    assert configuration is not None
    request.set_route(route)
    workspace = authorization.authorize(
        configuration, route, request.key_digest
    )
    if isinstance(workspace, failures.Failure):
        return _make_answer(board, now, failure=workspace, route=route)
    request.set_workspace(workspace, configuration.workspaces is not None)
    quota = quotas.explain_quota(board.quotas.value, request, now)
    failure = _check_suspicion(board, request, now)
    failure = failure or _check_quota(workspace, quota)
    scratch = snapshots.copy_board(board)
    return _make_answer(
        board,
        now,
        failure=failure,
        route=route,
        workspace=workspace.name if workspace is not None else None,
        priority=request.priority,
        quota=quota,
        services=tuple(
            services.explain_service(scratch, request, name, share, now)
            for name, share in _list_services(route)
        ),
    )


def _make_answer(
    board: boards.Blackboard, now: float, **fields: object
) -> answers.Answer:
    configuration = board.rules.value.configuration
    return answers.Answer(
        vm=board.settings.vm,
        zone=board.settings.zone,
        configuration=configuration.version if configuration else None,
        is_isolated=peers.is_isolated(
            board.membership.value.peer_table, board.store_read_at.value, now
        ),
        **fields,  # type: ignore[arg-type]
    )


def _find_route(
    board: boards.Blackboard, request: requests.Request, now: float
) -> routes.Route | failures.Failure:
    """Return the route of a request, or why it would be refused."""
    configuration = board.rules.value.configuration
    if configuration is None:
        return failures.NO_CONFIGURATION
    schedule = board.lifecycle.value.schedule
    if schedule is not None and now >= schedule.accepts_until:
        return failures.STOPPING
    route = routes.find_route(configuration, request.host, request.path)
    return route or failures.Failure(
        failures.Reason.NO_ROUTE, "no route has this host and path"
    )


def _check_suspicion(
    board: boards.Blackboard, request: requests.Request, now: float
) -> failures.Failure | None:
    """Return the failure of a request that shares what crashes endpoints.

    The fingerprint of the request itself is left out: its body and its caller
    are not known here.
    """
    request.suspect_keys = tuple(
        filter(suspectkeys.is_shared, suspectkeys.list_keys(request))
    )
    return trials.check_suspicion(board, request, now)


def _check_quota(
    workspace: workspaces.Workspace | None, quota: answers.Quota | None
) -> failures.Failure | None:
    """Return the failure of a request that its quota does not admit."""
    if workspace is None or quota is None:
        return None
    if quota.verdict is answers.QuotaVerdict.OVER_QUOTA:
        return failures.Failure(
            failures.Reason.OVER_QUOTA,
            f"the quota of workspace {workspace.name} is used up",
            quota.retry_after_s,
        )
    if quota.verdict is answers.QuotaVerdict.UNKNOWN:
        return failures.Failure(
            failures.Reason.QUOTA_UNKNOWN,
            f"no VM answers for the quota of {workspace.name}",
        )
    return None


def _list_services(route: routes.Route) -> list[tuple[str, float]]:
    """Return the services of a route with their probabilities."""
    total = sum(item.weight for item in route.weighted_services)
    return [
        (item.service, item.weight / total if total else 0.0)
        for item in route.weighted_services
    ]
