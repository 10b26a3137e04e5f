"""Looks up entry VMs and sends requests to them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import json
from urllib import parse

import attrs
import httpcore

from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.wire import httpclient

LOOKUP_TIMEOUT_MS = 2_000
END_MARKER = b"data: [DONE]"
EVENT_STREAM = "text/event-stream"


@attrs.frozen
class Entry:
    """A VM that a caller may send requests to.

    :param address: address at which the VM accepts callers
    :param reason: why the VM is listed
    """

    vm: str
    address: str
    reason: str


@attrs.frozen
class Answer:
    """An answer that was read to its end.

    :param complete: whether the body arrived; a stream is complete if its
        end marker arrived
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool


@attrs.frozen
class OpenAnswer:
    """An answer whose body is still being received."""

    status: int
    headers: Mapping[str, str]
    parts: AsyncIterator[bytes]

    @property
    def is_streamed(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        content_type = self.headers.get("content-type", "")
        return content_type.startswith(EVENT_STREAM)


async def look_up_entries(
    pool: httpcore.AsyncConnectionPool, addresses: Sequence[str], model: str
) -> list[Entry] | failures.Failure:
    """Return the VMs to use for a model, from the first VM that lists any."""
    query = parse.urlencode({"model": model})
    failure = failures.Failure(
        failures.Reason.PEER_UNREACHABLE, "no address was given"
    )
    for address in addresses:
        answer = await httpclient.fetch(
            pool,
            "GET",
            f"http://{address}/v1/entry?{query}",
            LOOKUP_TIMEOUT_MS,
            failure_reason=failures.Reason.PEER_UNREACHABLE,
        )
        if isinstance(answer, failures.Failure):
            failure = answer
            continue
        entries = _read_entries(answer.body, address)
        if entries:
            return entries
        failure = (
            entries
            if isinstance(entries, failures.Failure)
            else failures.Failure(
                failures.Reason.NO_CONFIGURATION, "no VM is serving yet"
            )
        )
    return failure


def _read_entries(body: bytes, address: str) -> list[Entry] | failures.Failure:
    try:
        return [
            Entry(str(row["vm"]), str(row["address"]), str(row["reason"]))
            for row in json.loads(body)["entries"]
        ]
    except (ValueError, KeyError, TypeError) as error:
        return failures.Failure(
            failures.Reason.PEER_PROTOCOL,
            f"invalid answer from {address}: {type(error).__name__}: {error}",
        )


async def send(
    pool: httpcore.AsyncConnectionPool,
    addresses: Sequence[str],
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_ms: int,
    method: str = "POST",
) -> Answer | failures.Failure:
    """Send a request, trying the next VM if one fails.

    A request with an `Idempotency-Key` may be sent again as well, since the
    key prevents a second run.
    """
    failure = failures.Failure(
        failures.Reason.PEER_UNREACHABLE, "no address was given"
    )
    for address in addresses:
        answer = await send_once(
            pool, address, path, body, headers, timeout_ms, method
        )
        if isinstance(answer, failures.Failure):
            failure = answer
            continue
        if answer.complete:
            return answer
        failure = failures.Failure(
            failures.Reason.ANSWER_INCOMPLETE,
            f"answer from {address} has no end marker",
        )
    return failure


async def send_once(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_ms: int,
    method: str = "POST",
) -> Answer | failures.Failure:
    """Send a request to one VM and read the whole answer."""
    answer = await httpclient.fetch(
        pool,
        method,
        f"http://{address}{path}",
        timeout_ms,
        body,
        {"Content-Type": "application/json", **headers},
        failures.Reason.PEER_UNREACHABLE,
    )
    if isinstance(answer, failures.Failure):
        return answer
    content_type = answer.headers.get("content-type", "")
    streamed = content_type.startswith(EVENT_STREAM)
    complete = not streamed or END_MARKER in answer.body
    return Answer(answer.status, answer.headers, answer.body, complete)


@contextlib.asynccontextmanager
async def open_answer(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_ms: int,
) -> AsyncIterator[OpenAnswer]:
    """Send a request to one VM and yield the answer while it is received.

    :param timeout_ms: timeout of each read, not of the whole answer
    :raises errors.FailureError: the VM was not reached or the connection
        broke
    """
    try:
        async with httpclient.open_stream(
            pool,
            "POST",
            f"http://{address}{path}",
            timeout_ms,
            body,
            {"Content-Type": "application/json", **headers},
        ) as response:
            yield OpenAnswer(
                response.status,
                httpclient.read_headers(response),
                response.aiter_stream(),
            )
    except httpclient.ERRORS as error:
        raise errors.FailureError(
            failures.Failure(
                failures.Reason.PEER_UNREACHABLE,
                f"{address}: {type(error).__name__}: {error}",
            )
        ) from None
