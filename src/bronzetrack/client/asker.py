"""Sends one request and reports how it went."""

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
HEADER_FIELDS = ("request-id", "adapter", "version", "endpoint", "vm")


@attrs.frozen
class Order:
    """What to send.

    :param timeout_ms: for each read of the answer
    """

    model: str
    path: str
    body: bytes
    headers: dict[str, str]
    timeout_ms: int


@attrs.frozen
class Report:
    """How a request went.

    :param fields: adapter, version, endpoint and VM, empty if not known
    """

    status: int
    outcome: str
    fields: dict[str, str]
    text: str
    error: dict[str, Any] | None = None


def make_headers(
    work_class: str | None, key: str | None, issued_ms: int
) -> dict[str, str]:
    """Return the headers that state class and key.

    :param key: the key, or NEW_KEY to make one
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
    if not identifiers.states_time(key):
        headers["Idempotency-Issued-At"] = str(issued_ms)
    return headers


def make_body(
    model: str, prompt: str, chat: bool, stream: bool, max_tokens: int
) -> bytes:
    """Return the body of a completions or chat call."""
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
    order: Order,
    show: Callable[[str], None],
) -> Report | failures.Failure:
    """Send an order to the best VM that is reached."""
    entries = await sender.look_up(pool, addresses, order.model)
    if isinstance(entries, failures.Failure):
        return entries
    failure = failures.Failure(failures.Reason.PEER_UNREACHABLE)
    for entry in entries:
        shown: list[str] = []

        def show_and_keep(text: str) -> None:
            shown.append(text)
            show(text)

        try:
            return await receive(pool, entry.address, order, show_and_keep)
        except errors.FailureError as error:
            failure = error.failure
        if shown:
            # Another answer would be printed after the part of this one.
            return attrs.evolve(
                failure, reason=failures.Reason.ANSWER_INCOMPLETE
            )
    return failure


async def receive(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    order: Order,
    show: Callable[[str], None],
) -> Report:
    """Return how the answer of one VM ended.

    :raises errors.FailureError: the VM was not reached or broke off
    """
    async with sender.open_answer(
        pool,
        address,
        order.path,
        order.body,
        order.headers,
        order.timeout_ms,
    ) as answer:
        fields = {
            name: answer.headers.get(f"bronzetrack-{name}", "")
            for name in HEADER_FIELDS
        }
        outcome = answer.headers.get("bronzetrack-outcome", "unknown")
        if not answer.is_streamed:
            body = b"".join([part async for part in answer.parts])
            found = events.read_object(body)
            text = events.extract_text(found)
            show(text)
            error = found.get("error")
            return Report(answer.status, outcome, fields, text, error)
        reader = events.EventReader()
        parts = []
        async for part in answer.parts:
            parts.append(reader.read(part))
            show(parts[-1])
        return Report(
            answer.status,
            judge_stream(reader),
            fields,
            "".join(parts),
            reader.error,
        )


def judge_stream(reader: events.EventReader) -> str:
    """Return the outcome of a stream, whose headers cannot tell it."""
    if reader.error is not None:
        return str(reader.error.get("outcome", "failed"))
    return COMPLETED if reader.ended else "unknown"
