"""HTTP answers to callers."""

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

CLIENT_CLOSED_STATUS = 499
# The rest of the body stays unread, so that no other request can follow.
CLOSING_REASONS = frozenset(
    {failures.Reason.BODY_TOO_LARGE, failures.Reason.BODY_TIMEOUT}
)
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


def make_headers(
    request: calls.CallerRequest | None,
    outcome: str,
    started: outputs.Started | None = None,
) -> dict[str, str]:
    """Return the headers of an answer, but for the id of the request."""
    headers = {"Bronzetrack-Outcome": outcome}
    if request is not None:
        adapter, _, version = request.adapter.partition("@")
        headers |= {
            "Bronzetrack-Adapter": adapter,
            "Bronzetrack-Version": version,
        }
    # A stored answer comes from no endpoint.
    if started is not None and started.endpoint:
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
    request: calls.CallerRequest | None = None,
) -> responses.Response:
    """Return the answer to a request that did not complete."""
    headers = make_headers(request, outcome.value)
    if failure.retry_after_ms is not None:
        seconds = math.ceil(failure.retry_after_ms / 1000)
        headers["Retry-After"] = str(seconds)
    if failure.reason in CLOSING_REASONS:
        headers["Connection"] = "close"
    return responses.JSONResponse(
        make_error_fields(outcome, failure),
        status_code=statuses.get_status(failure),
        headers=headers,
    )


async def iterate_events(output: outputs.Output) -> AsyncIterator[Any]:
    """Iterate over what the requests controller says of one request."""
    while True:
        for event in await output.take():
            yield event
            if isinstance(event, outputs.Ended):
                return


async def make_answer(
    request: calls.CallerRequest,
    output: outputs.Output,
    abandon: Callable[[], None],
    receive: Receive,
) -> responses.Response:
    """Return the answer to a request once its first event is there.

    :param abandon: called when the caller is gone; it does nothing after the
        end of the request
    :param receive: waits for the next message of the caller's connection
    """
    events = iterate_events(output)
    first = await _wait_first_event(events, receive)
    if first is None:
        abandon()
        return responses.Response(status_code=CLIENT_CLOSED_STATUS)
    if isinstance(first, outputs.Ended):
        failure = first.failure or failures.Failure(
            failures.Reason.ANSWER_INCOMPLETE
        )
        return make_refusal(failure, first.outcome, request)
    if not request.stream:
        return await _make_whole(request, first, events)
    headers = make_headers(request, "streaming", first)
    return AnswerStream(
        abandon,
        _stream(events),
        status_code=first.status,
        headers={**headers, "Content-Type": first.content_type},
    )


async def _wait_first_event(
    events: AsyncIterator[Any], receive: Receive
) -> Any:
    """Return the first event, None if the caller disconnects before it."""
    found = []
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch)
        found.append(await anext(events))
        group.cancel_scope.cancel()
    return found[0] if found else None


class AnswerStream(responses.StreamingResponse):
    """A streamed answer that tells when it can send no more.

    :param abandon: called at the end, and when the caller disconnects
    """

    def __init__(
        self, abandon: Callable[[], None], *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._abandon = abandon

    async def __call__(self, *arguments: Any) -> None:
        try:
            await super().__call__(*arguments)
        finally:
            self._abandon()


async def _make_whole(
    request: calls.CallerRequest,
    started: outputs.Started,
    events: AsyncIterator[Any],
) -> responses.Response:
    """Return an answer in one piece, all of whose events are there."""
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
    return make_refusal(
        failures.Failure(failures.Reason.ANSWER_INCOMPLETE), request=request
    )


async def _stream(events: AsyncIterator[Any]) -> AsyncIterator[bytes]:
    """Iterate over the body; a failure becomes an event without end marker."""
    async for event in events:
        if isinstance(event, outputs.Chunk):
            yield event.data
        elif event.failure is not None:
            fields = make_error_fields(
                event.outcome, _describe_broken(event.failure)
            )
            yield b"event: error\ndata: %s\n\n" % json.dumps(fields).encode()


def _describe_broken(failure: failures.Failure) -> failures.Failure:
    return failures.Failure(
        failures.Reason.ANSWER_INCOMPLETE,
        f"{failure.reason.value}: {failure.detail}",
    )
