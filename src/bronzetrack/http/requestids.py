"""Assigns the request ids that responses, logs and state dumps share."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any
import uuid

from starlette import requests as http_requests

SCOPE_KEY = "bronzetrack.request_id"
HEADER = "Bronzetrack-Request-Id"


class RequestIdMiddleware:
    """Assigns a request id before any other part can refuse the request.

    It wraps the whole application, since the framework sends the response
    to an unhandled exception from outside its own middleware.

    :param application: the wrapped ASGI application
    """

    def __init__(self, application: Any) -> None:
        self._application = application

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        request = uuid.uuid4().hex
        scope[SCOPE_KEY] = request
        header = (HEADER.lower().encode(), request.encode())

        async def send_with_id(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start":
                headers = (*message.get("headers", ()), header)
                message = {**message, "headers": headers}
            await send(message)

        await self._application(scope, receive, send_with_id)


def get_request_id(request: http_requests.Request) -> str:
    """Return the id of a request."""
    return request.scope[SCOPE_KEY]
