"""What of a caller's request can be passed on to an endpoint."""

from __future__ import annotations

from urllib import parse

from starlette import requests as http_requests

from bronzetrack.core import failures
from bronzetrack.streaming import calls

# Larger numbers do not fit a message to a peer, and no engine has them.
LARGEST_COST_TOKENS = 1_000_000


def read_target(request: http_requests.Request) -> str:
    """Return the path as the caller sent it, still percent-encoded.

    A decoded path could not be told apart from one with a query, and may
    hold characters that no request line can.
    """
    raw = request.scope.get("raw_path")
    if raw is None:
        return parse.quote(request.scope["path"])
    return raw.decode("latin-1")


def check_sendable(
    checked: calls.CallerRequest,
) -> failures.Failure | None:
    """Return why a request could not be passed on to an endpoint."""
    if checked.cost > LARGEST_COST_TOKENS:
        return failures.Failure(
            failures.Reason.BAD_REQUEST,
            f"max_tokens exceeds {LARGEST_COST_TOKENS}",
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
