"""Decoded requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bronzetrack.entry import routes
    from bronzetrack.entry.workspaces import workspaces


@attrs.define(eq=False)
class Request:
    """A completely received request of a caller.

    :param request_id: id of the request
    :param target: path and query as received
    :param host: host name without port, in lower case
    :param authority: host and port as received
    :param headers: headers to forward to the endpoint, as received
    :param identity_headers: headers about the caller's identity, as received;
        they are forwarded as well where the configuration has no workspaces,
        and are removed elsewhere
    :param arrived_at: arrival time
    :param deadline: time at which the caller stops waiting or the timeout of
        the route ends, whichever is first
    :param start_by: time at which the caller leaves without a first event
    :param model: base model, empty if the request needs no engine
    :param adapter: adapter of the base model, empty if none is named
    :param prompt_tokens: number of tokens of the prompt
    :param output_tokens: maximum number of tokens of the answer
    :param shared_parts: ids of the parts of the prompt that other requests
        may share
    :param length_hint: likely number of tokens of the answer, 0 if unknown
    :param prompt_parts: id and number of tokens of each part of the prompt
    :param caller: IP address of the caller
    :param suspect_keys: what the request has in common with its copies, by
        which it is refused if it crashes endpoints
    :param last_event_id: id of the event after which a stream is resumed
    :param key_digest: digest of the caller's key, `None` without one, and
        `keys.NONE` for several different ones
    :param workspace: workspace to which the key belongs
    :param states_usage: whether the request states its number of tokens
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    authority: bytes
    path: str
    headers: list[tuple[bytes, bytes]] = attrs.field(repr=False)
    body: bytes
    arrived_at: float
    deadline: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: int | None = None
    caller: str = ""
    shared_parts: tuple[str, ...] = ()
    suspect_keys: tuple[str, ...] = ()
    route: routes.Route | None = None
    start_by: float = float("inf")
    identity_headers: list[tuple[bytes, bytes]] = attrs.field(
        factory=list, repr=False
    )
    key_digest: bytes | None = attrs.field(default=None, repr=False)
    workspace: workspaces.Workspace | None = None
    states_usage: bool = False
    length_hint: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()

    def set_route(self, route: routes.Route) -> None:
        """Set the route and limit the deadlines by its timeouts."""
        self.route = route
        self.deadline = min(self.deadline, self.arrived_at + route.timeout_s)
        self.start_by = min(
            self.deadline, self.arrived_at + route.caller_timeout_s
        )

    def set_workspace(
        self, workspace: workspaces.Workspace | None, in_use: bool
    ) -> None:
        """Set the workspace that the key belongs to.

        :param in_use: whether the configuration has workspaces
        """
        self.workspace = workspace
        if in_use:
            self.identity_headers.clear()

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority if self.route is not None else 0

    @property
    def has_quota(self) -> bool:
        """Whether the request counts towards the quota of a workspace."""
        return self.workspace is not None and self.workspace.has_quota

    @property
    def model_key(self) -> tuple[str, str] | None:
        """Model and adapter that the endpoint must hold, if any."""
        return (self.model, self.adapter) if self.model else None
