"""HTTP answers to callers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import json
import math
from typing import Any

from starlette import responses

from bronzetrack.core import blackboard
from bronzetrack.core import failures
from bronzetrack.http import statuses
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import requests


def make_headers(
    request: requests.CallerRequest | None,
    outcome: str,
    started: requests.Started | None = None,
) -> dict[str, str]:
    """Return the headers that every answer has."""
    headers = {"Bronzetrack-Outcome": outcome}
    if request is not None:
        adapter, _, version = request.adapter.partition("@")
        headers |= {
            "Bronzetrack-Request-Id": request.request,
            "Bronzetrack-Adapter": adapter,
            "Bronzetrack-Version": version,
        }
    if started is not None:
        headers |= {
            "Bronzetrack-Endpoint": started.endpoint,
            "Bronzetrack-VM": started.vm,
        }
    return headers


def make_error_fields(
    outcome: outcomes.Outcome, failure: failures.Failure
) -> dict[str, Any]:
    """Return the body of an error in the shape that OpenAI clients read."""
    return {
        "error": {
            "type": failure.reason.value,
            "message": failure.detail,
            "outcome": outcome.value,
            "limit": failure.limit,
        }
    }


def make_refusal(
    failure: failures.Failure,
    outcome: outcomes.Outcome = outcomes.Outcome.REFUSED,
    request: requests.CallerRequest | None = None,
) -> responses.Response:
    """Return the answer to a request that did not complete."""
    headers = make_headers(request, outcome.value)
    if failure.retry_after_ms is not None:
        seconds = math.ceil(failure.retry_after_ms / 1000)
        headers["Retry-After"] = str(seconds)
    return responses.JSONResponse(
        make_error_fields(outcome, failure),
        status_code=statuses.get_status(failure),
        headers=headers,
    )


async def iterate_events(
    output: blackboard.Mailbox[Any],
) -> AsyncIterator[Any]:
    """Iterate over what the requests controller says of one request."""
    while True:
        await output.wait_items()
        for event in output.take():
            yield event
            if isinstance(event, requests.Ended):
                return


async def make_answer(
    request: requests.CallerRequest,
    output: blackboard.Mailbox[Any],
    abandon: Callable[[], None],
) -> responses.Response:
    """Return the answer to a request once its first event is there.

    :param abandon: called when the caller disconnects
    """
    events = iterate_events(output)
    first = await anext(events)
    if isinstance(first, requests.Ended):
        failure = first.failure or failures.Failure(
            failures.Reason.ANSWER_INCOMPLETE
        )
        return make_refusal(failure, first.outcome, request)
    if not request.stream:
        return await _make_whole(request, first, events)
    headers = make_headers(request, "streaming", first)
    return responses.StreamingResponse(
        _stream(events, abandon),
        status_code=first.status,
        headers={**headers, "Content-Type": first.content_type},
    )


async def _make_whole(
    request: requests.CallerRequest,
    started: requests.Started,
    events: AsyncIterator[Any],
) -> responses.Response:
    parts = []
    async for event in events:
        if isinstance(event, requests.Chunk):
            parts.append(event.data)
            continue
        if event.failure is not None:
            return make_refusal(event.failure, event.outcome, request)
        headers = make_headers(request, event.outcome.value, started)
        return responses.Response(
            b"".join(parts),
            status_code=started.status,
            headers={**headers, "Content-Type": started.content_type},
        )
    return make_refusal(
        failures.Failure(failures.Reason.ANSWER_INCOMPLETE), request=request
    )


async def _stream(
    events: AsyncIterator[Any], abandon: Callable[[], None]
) -> AsyncIterator[bytes]:
    """Iterate over the body; a failure becomes an event without end marker."""
    ended = False
    try:
        async for event in events:
            if isinstance(event, requests.Chunk):
                yield event.data
                continue
            ended = True
            if event.failure is not None:
                fields = make_error_fields(event.outcome, event.failure)
                yield b"event: error\ndata: %s\n\n" % (
                    json.dumps(fields).encode()
                )
    finally:
        if not ended:
            abandon()
