"""HTTP responses to callers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import json
import math
from typing import Any

import anyio
from starlette import responses

from bronzetrack.core import failures
from bronzetrack.http import statuses
from bronzetrack.streaming import calls
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import output as outputs

CLIENT_CLOSED_REQUEST_STATUS = 499
# The rest of the request body stays unread after these failures, so the
# connection cannot carry another request and is closed.
CONNECTION_CLOSING_REASONS = frozenset(
    {failures.Reason.BODY_TOO_LARGE, failures.Reason.BODY_TIMEOUT}
)
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


def make_headers(
    request: calls.CallerRequest | None,
    outcome: str,
    started: outputs.Started | None = None,
) -> dict[str, str]:
    """Return the headers of a response, without the request id."""
    headers = {"Bronzetrack-Outcome": outcome}
    if request is not None:
        adapter, _, version = request.adapter.partition("@")
        headers |= {
            "Bronzetrack-Adapter": adapter,
            "Bronzetrack-Version": version,
        }
    # A response that is replayed from a stored result may name no endpoint.
    if started is not None and started.endpoint:
        headers |= {
            "Bronzetrack-Endpoint": started.endpoint,
            "Bronzetrack-VM": started.vm,
        }
    return headers


def make_error_fields(
    outcome: outcomes.Outcome, failure: failures.Failure
) -> dict[str, Any]:
    """Return the body of an error in the format that OpenAI clients parse."""
    return {
        "error": {
            "type": failure.reason.value,
            "message": failure.detail,
            "outcome": outcome.value,
            "limit": failure.limit,
        }
    }


def make_error_response(
    failure: failures.Failure,
    outcome: outcomes.Outcome = outcomes.Outcome.REFUSED,
    request: calls.CallerRequest | None = None,
) -> responses.Response:
    """Return the response to a request that did not complete."""
    headers = make_headers(request, outcome.value)
    if failure.retry_after_ms is not None:
        seconds = math.ceil(failure.retry_after_ms / 1000)
        headers["Retry-After"] = str(seconds)
    if failure.reason in CONNECTION_CLOSING_REASONS:
        headers["Connection"] = "close"
    return responses.JSONResponse(
        make_error_fields(outcome, failure),
        status_code=statuses.get_status(failure),
        headers=headers,
    )


async def iterate_events(output: outputs.Output) -> AsyncIterator[Any]:
    """Iterate over the output events of one request, up to its end."""
    while True:
        for event in await output.take():
            yield event
            if isinstance(event, outputs.Ended):
                return


async def make_response(
    request: calls.CallerRequest,
    output: outputs.Output,
    cancel: Callable[[], None],
    receive: Receive,
) -> responses.Response:
    """Wait for the first event of a request and return its response.

    :param cancel: called when the caller disconnects and after a streamed
        response; it has no effect once the request has ended
    :param receive: the ASGI callable that waits for the next message of the
        caller's connection
    """
    events = iterate_events(output)
    first = await _wait_first_event(events, receive)
    if first is None:
        cancel()
        return responses.Response(status_code=CLIENT_CLOSED_REQUEST_STATUS)
    if isinstance(first, outputs.Ended):
        failure = first.failure or failures.Failure(
            failures.Reason.ANSWER_INCOMPLETE
        )
        return make_error_response(failure, first.outcome, request)
    if not request.stream:
        return await _make_complete_response(request, first, events)
    headers = make_headers(request, "streaming", first)
    return CancellingStreamResponse(
        cancel,
        _iterate_body(events),
        status_code=first.status,
        headers={**headers, "Content-Type": first.content_type},
    )


async def _wait_first_event(
    events: AsyncIterator[Any], receive: Receive
) -> Any:
    """Return the first event, or None if the caller disconnects first."""
    received = []
    async with anyio.create_task_group() as group:

        async def watch_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch_disconnect)
        received.append(await anext(events))
        group.cancel_scope.cancel()
    return received[0] if received else None


class CancellingStreamResponse(responses.StreamingResponse):
    """A streamed response that cancels its request when sending stops.

    :param cancel: called at the end of the response and when the caller
        disconnects
    """

    def __init__(
        self, cancel: Callable[[], None], *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._cancel = cancel

    async def __call__(self, *arguments: Any) -> None:
        try:
            await super().__call__(*arguments)
        finally:
            self._cancel()


async def _make_complete_response(
    request: calls.CallerRequest,
    started: outputs.Started,
    events: AsyncIterator[Any],
) -> responses.Response:
    """Collect the events of a request into one response."""
    parts = []
    async for event in events:
        if isinstance(event, outputs.Chunk):
            parts.append(event.data)
            continue
        headers = make_headers(request, event.outcome.value, started)
        return responses.Response(
            b"".join(parts),
            status_code=started.status,
            headers={**headers, "Content-Type": started.content_type},
        )
    return make_error_response(
        failures.Failure(failures.Reason.ANSWER_INCOMPLETE), request=request
    )


async def _iterate_body(events: AsyncIterator[Any]) -> AsyncIterator[bytes]:
    """Iterate over the body of a streamed response.

    A failure is sent as an error event, without an end marker.
    """
    async for event in events:
        if isinstance(event, outputs.Chunk):
            yield event.data
        elif event.failure is not None:
            fields = make_error_fields(
                event.outcome, _make_incomplete_failure(event.failure)
            )
            yield b"event: error\ndata: %s\n\n" % json.dumps(fields).encode()


def _make_incomplete_failure(failure: failures.Failure) -> failures.Failure:
    """Return a failure for a response that broke off after its start."""
    return failures.Failure(
        failures.Reason.ANSWER_INCOMPLETE,
        f"{failure.reason.value}: {failure.detail}",
    )
