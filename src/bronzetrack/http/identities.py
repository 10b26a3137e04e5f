"""Gives each call an id that its answer, the logs and the dumps share."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any
import uuid

from starlette import requests as http_requests

SCOPE_KEY = "bronzetrack.request_id"
HEADER = "Bronzetrack-Request-Id"


class IdentityMiddleware:
    """Names each call before anything can refuse it.

    It stands around the whole application, since the answer to a fault is
    sent from outside the middleware of the framework.

    :param application: the ASGI application around which it stands
    """

    def __init__(self, application: Any) -> None:
        self._application = application

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        request = uuid.uuid4().hex
        scope[SCOPE_KEY] = request
        header = (HEADER.lower().encode(), request.encode())

        async def send_named(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start":
                headers = (*message.get("headers", ()), header)
                message = {**message, "headers": headers}
            await send(message)

        await self._application(scope, receive, send_named)


def get_request_id(request: http_requests.Request) -> str:
    """Return the id of a call."""
    return request.scope[SCOPE_KEY]
