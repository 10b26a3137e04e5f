"""Exception handlers of the listener for callers."""

from __future__ import annotations

import logging

from starlette import exceptions
from starlette import requests as http_requests
from starlette import responses

from bronzetrack.core import failures
from bronzetrack.http import answers
from bronzetrack.streaming import outcomes

LOG = logging.getLogger(__name__)
OUTCOME_HEADER = "Bronzetrack-Outcome"


async def answer_http_error(
    request: http_requests.Request, error: Exception
) -> responses.Response:
    """Return the response for an unknown path or an unsupported method."""
    assert isinstance(error, exceptions.HTTPException)
    failure = failures.Failure(
        failures.Reason.BAD_REQUEST, f"{request.method}: {error.detail}"
    )
    fields = answers.make_error_fields(outcomes.Outcome.REFUSED, failure)
    return responses.JSONResponse(
        fields,
        status_code=error.status_code,
        headers={**(error.headers or {}), OUTCOME_HEADER: "refused"},
    )


async def answer_internal_error(
    request: http_requests.Request, error: Exception
) -> responses.Response:
    """Return the response for an unhandled exception in a handler.

    The HTTP server logs the exception with its traceback.
    """
    LOG.error(
        "request failed because of an internal error",
        extra={
            "event": "request_fault",
            "path": request.scope["path"],
            "detail": repr(error),
        },
    )
    failure = failures.Failure(
        failures.Reason.INTERNAL_ERROR, type(error).__name__
    )
    outcome = outcomes.Outcome.UNKNOWN
    return responses.JSONResponse(
        answers.make_error_fields(outcome, failure),
        status_code=500,
        headers={OUTCOME_HEADER: outcome.value},
    )
