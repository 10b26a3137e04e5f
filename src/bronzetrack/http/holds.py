"""Bounds what the requests in progress hold in the memory of a VM."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import failures

SCOPE_KEY = "bronzetrack.hold"
RETRY_MS = 1_000


@attrs.define
class Totals:
    """What all requests in progress hold, and how much they may.

    :param requests: requests whose answer has not ended
    :param body_bytes: bytes of their bodies
    """

    most_requests: int
    most_body_bytes: int
    requests: int = 0
    body_bytes: int = 0


@attrs.define
class Hold:
    """What one request holds."""

    totals: Totals
    requests: int = 0
    body_bytes: int = 0

    def admit(self) -> failures.Failure | None:
        """Count the request, or return why there is no room for it."""
        most = self.totals.most_requests
        if self.totals.requests >= most:
            return _refuse("open_requests", f"{most} requests in progress")
        self.requests += 1
        self.totals.requests += 1
        return None

    def grow(self, count: int) -> failures.Failure | None:
        """Count bytes of the body, or return why there is no room."""
        most = self.totals.most_body_bytes
        if self.totals.body_bytes + count > most:
            return _refuse("open_body_bytes", f"{most} bytes of bodies held")
        self.body_bytes += count
        self.totals.body_bytes += count
        return None

    def release(self) -> None:
        """Give everything back."""
        self.totals.requests -= self.requests
        self.totals.body_bytes -= self.body_bytes
        self.requests = 0
        self.body_bytes = 0


def _refuse(name: str, detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.QUEUE_FULL,
        f"{detail} at this VM",
        retry_after_ms=RETRY_MS,
        limit=f"limits.{name}",
    )


class HoldMiddleware:
    """Gives each request a hold and releases it when the answer has ended.

    :param application: the ASGI application around which it stands
    """

    def __init__(self, application: Any, totals: Totals) -> None:
        self._application = application
        self._totals = totals

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        hold = Hold(self._totals)
        scope[SCOPE_KEY] = hold
        try:
            await self._application(scope, receive, send)
        finally:
            hold.release()
