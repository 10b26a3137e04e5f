"""What this VM believes of the endpoints."""

from __future__ import annotations

import attrs

# Model and adapter that a request is for; no adapter for the bare model.
Need = tuple[str, str]

# Announcements reach this VM at most about this late.
ANNOUNCEMENT_AGE_S = 3.0


@attrs.define(eq=False)
class Endpoint:
    """An endpoint as it was last announced.

    :param identity: its id, new with most starts
    :param started_ms: Unix time of its start
    :param announced: count of its announcements
    :param adapters: version of each adapter held, by model and name
    :param leaving_since: when it was first known to leave
    :param removed_at: from when on it counts as gone
    :param gone_at: when it will be stopped, if that was announced
    :param placed_at: when the holder of the lease last said whether it holds
        a model or an adapter
    """

    identity: str
    service: str
    address: str
    zone: str
    capacity: int
    started_ms: int = 0
    announced: int = 0
    models: dict[str, int] = attrs.field(factory=dict)
    adapters: dict[Need, int] = attrs.field(factory=dict)
    leaving_since: float | None = None
    removed_at: float | None = None
    gone_at: float | None = None
    placed_at: dict[Need, float] = attrs.field(factory=dict)

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be sent there."""
        if self.leaving_since is not None:
            return False
        return self.removed_at is None or now < self.removed_at

    def holds(self, need: Need, version: int) -> bool:
        """Return whether a model or an adapter is held.

        :param version: oldest version of the adapter that may be used
        """
        model, adapter = need
        if not adapter:
            return model in self.models
        return self.adapters.get(need, 0) >= version

    def place(self, need: Need, version: int, now: float) -> None:
        """Take in what the holder of the lease says of a model or adapter.

        :param version: version held, 0 for none
        """
        self.placed_at[need] = now
        self._set(need, version)

    def announce(
        self,
        models: dict[str, int],
        adapters: dict[Need, int],
        now: float,
    ) -> None:
        """Take in what the endpoint says that it holds.

        An announcement is some time old, so that what the holder of the lease
        said meanwhile stands.
        """
        self.placed_at = {
            need: at
            for need, at in self.placed_at.items()
            if now - at < ANNOUNCEMENT_AGE_S
        }
        kept = {need: self._get(need) for need in self.placed_at}
        self.models = dict(models)
        self.adapters = dict(adapters)
        for need, version in kept.items():
            self._set(need, version)

    def _get(self, need: Need) -> int:
        model, adapter = need
        if adapter:
            return self.adapters.get(need, 0)
        return self.models.get(model, 0)

    def _set(self, need: Need, version: int) -> None:
        model, adapter = need
        if adapter and version:
            self.adapters[need] = version
        elif adapter:
            self.adapters.pop(need, None)
        elif version:
            self.models[model] = version
        else:
            self.models.pop(model, None)


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
