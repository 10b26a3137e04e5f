"""The HTTP listener for operators: metrics, state dump, planned stops."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import prometheus_client
from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from bronzetrack.membership import lifecycle
from bronzetrack.metrics import gauges
from bronzetrack.wire import dump

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import clock


@attrs.define
class OperatorsApplication:
    """Handlers of the operators' listener."""

    board: boards.Blackboard
    read_clock: Callable[[], clock.Instant]

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        application = applications.Starlette(
            routes=[
                routing.Route("/metrics", self.get_metrics),
                routing.Route("/state", self.get_state),
                routing.Route("/state/{section}", self.get_section),
                routing.Route("/drain", self.drain, methods=["POST"]),
            ]
        )
        # Not every client repeats the body after a redirect.
        application.router.redirect_slashes = False
        return application

    async def get_metrics(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return the metrics in the Prometheus text format."""
        return responses.Response(
            gauges.write_metrics(self.board, self.read_clock),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    async def get_state(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return all sections of the state dump."""
        dump_request = self._read_dump_request(request)
        if dump_request is None:
            return _make_limit_error()
        return responses.JSONResponse(dump.dump_board(dump_request))

    async def get_section(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return one section of the state dump."""
        dump_request = self._read_dump_request(request)
        if dump_request is None:
            return _make_limit_error()
        name = request.path_params["section"]
        section = dump.dump_section(dump_request, name)
        if section is None:
            known = ", ".join(sorted(dump.list_sections(self.board)))
            return _make_error_response(
                404, "unknown_section", f"known: {known}"
            )
        return responses.JSONResponse(section)

    async def drain(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Request a planned stop; a stop that has begun continues."""
        client = request.client
        origin = "unknown" if client is None else client.host
        stop = lifecycle.StopRequest(origin)
        if not self.board.mailboxes["lifecycle"].post(stop):
            return _make_error_response(503, "queue_full", "try again")
        return responses.JSONResponse({"vm": self.board.vm}, status_code=202)

    def _read_dump_request(
        self, request: http_requests.Request
    ) -> dump.DumpRequest | None:
        """Return the dump request, or None if its limit is invalid."""
        text = request.query_params.get("limit", str(dump.DEFAULT_LIMIT))
        if not (text.isascii() and text.isdigit() and len(text) < 10):
            return None
        limit = int(text)
        if not 0 < limit <= dump.MAX_LIMIT:
            return None
        return dump.DumpRequest(self.board, self.read_clock(), limit)


def _make_limit_error() -> responses.Response:
    detail = f"limit is a whole number from 1 to {dump.MAX_LIMIT}"
    return _make_error_response(400, "bad_request", detail)


def _make_error_response(
    status: int, reason: str, detail: str
) -> responses.Response:
    return responses.JSONResponse(
        {"error": {"type": reason, "message": detail}}, status_code=status
    )
