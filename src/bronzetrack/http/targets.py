"""Checks whether a caller's request can be forwarded to an endpoint."""

from __future__ import annotations

from urllib import parse

from starlette import requests as http_requests

from bronzetrack.core import failures
from bronzetrack.streaming import calls

# Larger numbers do not fit a message to a peer, and no engine supports them.
MAX_COST_TOKENS = 1_000_000


def read_target(request: http_requests.Request) -> str:
    """Return the path as the caller sent it, still percent-encoded.

    A decoded path could be confused with a path that has a query, and may
    contain characters that are not allowed in a request line.
    """
    raw = request.scope.get("raw_path")
    if raw is None:
        return parse.quote(request.scope["path"])
    return raw.decode("latin-1")


def check_sendable(
    checked: calls.CallerRequest,
) -> failures.Failure | None:
    """Return a failure if a request cannot be forwarded to an endpoint."""
    if checked.cost > MAX_COST_TOKENS:
        return failures.Failure(
            failures.Reason.BAD_REQUEST,
            f"max_tokens exceeds {MAX_COST_TOKENS}",
        )
    for name, text in (
        ("path", checked.path),
        ("Content-Type", checked.content_type),
    ):
        if not (text.isascii() and text.isprintable()):
            return failures.Failure(
                failures.Reason.BAD_REQUEST,
                f"the {name} holds characters outside printable ASCII",
            )
    return None
