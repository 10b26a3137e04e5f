"""Admission control by the memory that open requests use on a VM."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import failures

SCOPE_KEY = "bronzetrack.hold"
RETRY_AFTER_MS = 1_000


@attrs.define
class UsageTotals:
    """Usage of all requests in progress together, and its limits.

    :param max_requests: limit of the requests in progress
    :param max_body_bytes: limit of the bytes of their bodies
    :param requests: number of requests whose response has not ended
    :param body_bytes: bytes of the bodies of these requests
    """

    max_requests: int
    max_body_bytes: int
    requests: int = 0
    body_bytes: int = 0


@attrs.define
class Reservation:
    """The share of the totals that one request has reserved."""

    totals: UsageTotals
    requests: int = 0
    body_bytes: int = 0

    def admit(self) -> failures.Failure | None:
        """Count the request, or return a failure if the limit is reached."""
        maximum = self.totals.max_requests
        if self.totals.requests >= maximum:
            return _make_queue_full(
                "open_requests", f"{maximum} requests in progress"
            )
        self.requests += 1
        self.totals.requests += 1
        return None

    def grow(self, count: int) -> failures.Failure | None:
        """Count bytes of the body, or return a failure above the limit."""
        maximum = self.totals.max_body_bytes
        if self.totals.body_bytes + count > maximum:
            return _make_queue_full(
                "open_body_bytes", f"{maximum} bytes of bodies held"
            )
        self.body_bytes += count
        self.totals.body_bytes += count
        return None

    def release(self) -> None:
        """Subtract everything that the request has reserved."""
        self.totals.requests -= self.requests
        self.totals.body_bytes -= self.body_bytes
        self.requests = 0
        self.body_bytes = 0


def _make_queue_full(name: str, detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.QUEUE_FULL,
        f"{detail} at this VM",
        retry_after_ms=RETRY_AFTER_MS,
        limit=f"limits.{name}",
    )


class AdmissionMiddleware:
    """Gives each request a reservation and releases it with the response.

    :param application: the wrapped ASGI application
    :param totals: usage and limits that all requests share
    """

    def __init__(self, application: Any, totals: UsageTotals) -> None:
        self._application = application
        self._totals = totals

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        reservation = Reservation(self._totals)
        scope[SCOPE_KEY] = reservation
        try:
            await self._application(scope, receive, send)
        finally:
            reservation.release()
