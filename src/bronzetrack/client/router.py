"""Asks an entry VM where a request would go."""

from __future__ import annotations

from collections.abc import Sequence
import json
from typing import Any

import attrs
import httpcore

from bronzetrack.client import inspector
from bronzetrack.core import failures
from bronzetrack.wire import httpclient

TIMEOUT_MS = 5_000
# Answers list at most 128 endpoints for each service of the route.
MAX_ANSWER_BYTES = 4_000_000


@attrs.frozen
class Question:
    """Facts of the request that a question is about.

    :param prompt_parts: id and number of tokens of each part of the prompt
    :param key: secret key of the request, `None` without one
    """

    host: str
    path: str
    method: str = "GET"
    model: str | None = None
    adapter: str | None = None
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    length_hint: int | None = None
    prompt_parts: tuple[tuple[str, int], ...] = ()
    deadline_ms: int | None = None
    key: str | None = attrs.field(default=None, repr=False)

    def make_document(self) -> dict[str, Any]:
        """Return the question as a JSON document."""
        parts = [
            {"id": part, "tokens": tokens}
            for part, tokens in self.prompt_parts
        ]
        document = attrs.asdict(self) | {"prompt_parts": parts}
        return {
            name: value
            for name, value in document.items()
            if value not in (None, [])
        }


async def explain(
    pool: httpcore.AsyncConnectionPool,
    addresses: Sequence[str],
    question: Question,
) -> dict[str, Any] | failures.Failure:
    """Return where a request would go at the first VM that answers.

    :param addresses: operators' addresses of entry VMs, tried in turn
    """
    failure = failures.Failure(
        failures.Reason.PEER_UNREACHABLE, "no address was given"
    )
    for address in addresses:
        answer = await httpclient.fetch(
            pool,
            "POST",
            f"http://{address}/explain",
            TIMEOUT_MS,
            json.dumps(question.make_document()).encode(),
            {"Content-Type": "application/json"},
            failures.Reason.PEER_UNREACHABLE,
            MAX_ANSWER_BYTES,
        )
        if isinstance(answer, failures.Failure):
            failure = answer
            continue
        return inspector.read_json(answer, address)
    return failure
