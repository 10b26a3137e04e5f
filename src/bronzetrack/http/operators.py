"""The listener for operators: metrics and the state dump."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import prometheus_client
from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from bronzetrack.wire import dump

if TYPE_CHECKING:
    from bronzetrack import board as boards


@attrs.define
class OperatorsApplication:
    """Handlers of the operators' listener."""

    board: boards.Blackboard

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/metrics", self.get_metrics),
                routing.Route("/state", self.get_state),
                routing.Route("/state/{section}", self.get_section),
            ]
        )

    async def get_metrics(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return the metrics in the Prometheus text format."""
        return responses.Response(
            prometheus_client.generate_latest(),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    async def get_state(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return every section of the blackboard."""
        return responses.JSONResponse(dump.dump_board(self.board))

    async def get_section(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return one section of the blackboard."""
        sections = dump.dump_board(self.board)
        name = request.path_params["section"]
        if name not in sections:
            return responses.JSONResponse(
                {"error": "unknown_section", "known": sorted(sections)},
                status_code=404,
            )
        return responses.JSONResponse(sections[name])
