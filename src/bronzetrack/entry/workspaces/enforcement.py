"""Check of the key of a request against the configuration in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bronzetrack.core import logevents
from bronzetrack.entry import routes
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.workspaces import authorization
from bronzetrack.entry.workspaces import meters
from bronzetrack.entry.workspaces import refusals

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)


def check_key(
    board: boards.Blackboard, request: requests.Request, possible_runs: int = 0
) -> failures.Failure | None:
    """Set the workspace of a request, or return why it must not be sent.

    The configuration in force may be newer than the one by which the route of
    the request was found, since requests wait.

    :param possible_runs: number of sends after which an endpoint may have run
        the request
    """
    configuration = board.rules.value.configuration
    if configuration is None:
        return failures.NO_CONFIGURATION
    if configuration.workspaces is None:
        request.set_workspace(None, in_use=False)
        return None
    route = routes.find_route(configuration, request.host, request.path)
    found = authorization.authorize(
        configuration, route or request.route, request.key_digest
    )
    if not isinstance(found, failures.Failure):
        request.set_workspace(found, in_use=True)
        return None
    _record_refusal(request, configuration.version)
    if possible_runs:
        # A 401 would state that the request has not run.
        return failures.Failure(failures.Reason.LOST, found.detail)
    return found


def _record_refusal(request: requests.Request, version: int) -> None:
    """Count and log the refusal of a request for its key."""
    cause = authorization.find_cause(
        request.key_digest, request.workspace is not None
    )
    meters.REFUSED_KEYS.labels(cause.value).inc()
    event = refusals.KeyRefused(
        request_id=request.request_id,
        route=request.route.name if request.route else "",
        cause=cause.value,
        version=version,
    )
    logevents.log(LOG, event)
