"""Sends one request and reports its result."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import json
import secrets
from typing import Any

import attrs
import httpcore

from bronzetrack.client import events
from bronzetrack.client import identifiers
from bronzetrack.client import sender
from bronzetrack.core import errors
from bronzetrack.core import failures

NEW_KEY = "new"
COMPLETED = "completed"
REPORTED_HEADERS = ("request-id", "adapter", "version", "endpoint", "vm")


@attrs.frozen
class OutgoingRequest:
    """A request that is ready to be sent.

    :param model: model name, for the look-up of the VM
    :param path: path of the HTTP request
    :param body: body of the HTTP request
    :param headers: headers of the HTTP request
    :param timeout_ms: timeout of each read of the answer
    """

    model: str
    path: str
    body: bytes
    headers: dict[str, str]
    timeout_ms: int


@attrs.frozen
class RequestResult:
    """The result of a request.

    :param status: HTTP status code
    :param outcome: outcome as the VM states it, or `unknown`
    :param fields: request id, adapter, version, endpoint and VM, each empty
        if not known
    :param text: generated text
    :param error: the error in the answer, if there is one
    """

    status: int
    outcome: str
    fields: dict[str, str]
    text: str
    error: dict[str, Any] | None = None


def make_headers(
    work_class: str | None, key: str | None, issued_ms: int
) -> dict[str, str]:
    """Return the headers for the work class and the idempotency key.

    :param key: the key, or NEW_KEY to generate one
    :param issued_ms: Unix time at which the key was first sent
    """
    headers = {}
    if work_class is not None:
        headers["Bronzetrack-Class"] = work_class
    if key is None:
        return headers
    if key == NEW_KEY:
        random = secrets.randbits(identifiers.RANDOM_BITS)
        headers["Idempotency-Key"] = str(
            identifiers.make_uuid7(issued_ms, random)
        )
        return headers
    headers["Idempotency-Key"] = key
    if not identifiers.contains_issue_time(key):
        headers["Idempotency-Issued-At"] = str(issued_ms)
    return headers


def make_body(
    model: str, prompt: str, chat: bool, stream: bool, max_tokens: int
) -> bytes:
    """Return the body of a completions or chat completions call."""
    fields: dict[str, Any] = {
        "model": model,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    if chat:
        fields["messages"] = [{"role": "user", "content": prompt}]
    else:
        fields["prompt"] = prompt
    return json.dumps(fields).encode()


async def send(
    pool: httpcore.AsyncConnectionPool,
    addresses: Sequence[str],
    request: OutgoingRequest,
    on_text: Callable[[str], None],
) -> RequestResult | failures.Failure:
    """Send a request to the listed VMs in order until one returns a result.

    Once text was delivered, no other VM is tried.

    :param addresses: addresses at which VMs accept callers; queried for the
        VMs that serve the model
    :param on_text: called with each part of the text as it arrives
    """
    entries = await sender.look_up_entries(pool, addresses, request.model)
    if isinstance(entries, failures.Failure):
        return entries
    failure = failures.Failure(failures.Reason.PEER_UNREACHABLE)
    for entry in entries:
        delivered: list[str] = []

        def deliver(text: str) -> None:
            delivered.append(text)
            on_text(text)

        try:
            return await receive(pool, entry.address, request, deliver)
        except errors.FailureError as error:
            failure = error.failure
        if delivered:
            # Another attempt would append its text to the part already shown.
            return attrs.evolve(
                failure, reason=failures.Reason.ANSWER_INCOMPLETE
            )
    return failure


async def receive(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    request: OutgoingRequest,
    on_text: Callable[[str], None],
) -> RequestResult:
    """Send a request to one VM and return the result.

    :raises errors.FailureError: the VM was not reached or the connection
        broke
    """
    async with sender.open_answer(
        pool,
        address,
        request.path,
        request.body,
        request.headers,
        request.timeout_ms,
    ) as answer:
        fields = {
            name: answer.headers.get(f"bronzetrack-{name}", "")
            for name in REPORTED_HEADERS
        }
        outcome = answer.headers.get("bronzetrack-outcome", "unknown")
        if not answer.is_streamed:
            body = b"".join([part async for part in answer.parts])
            answer_fields = events.read_object(body)
            text = events.extract_text(answer_fields)
            on_text(text)
            error = answer_fields.get("error")
            return RequestResult(answer.status, outcome, fields, text, error)
        reader = events.EventReader()
        parts = []
        async for part in answer.parts:
            parts.append(reader.read(part))
            on_text(parts[-1])
        return RequestResult(
            answer.status,
            determine_stream_outcome(reader),
            fields,
            "".join(parts),
            reader.error,
        )


def determine_stream_outcome(reader: events.EventReader) -> str:
    """Return the outcome of a stream.

    It is known only at the end of the body, so the headers cannot state it.
    """
    if reader.error is not None:
        return str(reader.error.get("outcome", "failed"))
    return COMPLETED if reader.ended else "unknown"
