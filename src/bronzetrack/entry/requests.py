"""A caller's request, decoded."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bronzetrack.entry import routes


@attrs.define(eq=False)
class Request:
    """A whole request of a caller.

    :param target: path and query as they were sent
    :param host: without port, in lower case
    :param authority: host and port as they were sent
    :param headers: those that go on to the endpoint, as sent
    :param deadline: when the caller stops waiting, or the route's timeout
    :param start_by: when the caller leaves if no event came
    :param model: base model, if the request is for an engine
    :param adapter: adapter of the model, if it names one
    :param prompt_tokens: size of the prompt
    :param output_tokens: most tokens of the answer
    """

    identity: str
    method: bytes
    target: bytes
    host: str
    authority: bytes
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived: float
    deadline: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: int | None = None
    route: routes.Route | None = None
    start_by: float = float("inf")

    def bind(self, route: routes.Route) -> None:
        """Take the bounds of the route that the request is for."""
        self.route = route
        self.deadline = min(self.deadline, self.arrived + route.timeout_s)
        self.start_by = min(self.deadline, self.arrived + route.patience_s)

    @property
    def need(self) -> tuple[str, str] | None:
        """Model and adapter that the endpoint must hold."""
        return (self.model, self.adapter) if self.model else None
