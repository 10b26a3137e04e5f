"""Answers to what no handler answers."""

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
    """Answer a path or method that is not served."""
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


async def answer_fault(
    request: http_requests.Request, error: Exception
) -> responses.Response:
    """Answer a request that met a fault of ours.

    The server logs the exception itself.
    """
    LOG.error(
        "request failed for a fault of the daemon",
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
