"""What this VM believes of the endpoints."""

from __future__ import annotations

import attrs

@attrs.define(eq=False)
class Endpoint:
    """An endpoint as it was last announced.

    :param identity: its id, new with most starts
    :param started_ms: Unix time of its start
    :param sequence: orders that it has accepted
    :param adapters: version of each adapter held, by model and name
    :param leaving_since: when it was first known to leave
    :param removed_at: from when on it counts as gone
    :param gone_at: when it will be stopped, if that was announced
    """

    identity: str
    service: str
    address: str
    zone: str
    capacity: int
    started_ms: int = 0
    sequence: int = 0
    models: dict[str, int] = attrs.field(factory=dict)
    adapters: dict[tuple[str, str], int] = attrs.field(factory=dict)
    leaving_since: float | None = None
    removed_at: float | None = None
    gone_at: float | None = None
    busy: bool = False
    seen_at: float = 0.0

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be sent there."""
        if self.leaving_since is not None:
            return False
        return self.removed_at is None or now < self.removed_at


@attrs.define(eq=False)
class EndpointTable:
    """All endpoints, by id and by service."""

    by_identity: dict[str, Endpoint] = attrs.field(factory=dict)
    by_service: dict[str, list[Endpoint]] = attrs.field(factory=dict)

    def add(self, endpoint: Endpoint) -> None:
        """Enter an endpoint, in place of one with the same id."""
        self.remove(endpoint.identity)
        self.by_identity[endpoint.identity] = endpoint
        self.by_service.setdefault(endpoint.service, []).append(endpoint)

    def remove(self, identity: str) -> Endpoint | None:
        """Remove an endpoint."""
        endpoint = self.by_identity.pop(identity, None)
        if endpoint is not None:
            self.by_service[endpoint.service].remove(endpoint)
        return endpoint

    def list_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, whatever their state."""
        return self.by_service.get(service, [])
