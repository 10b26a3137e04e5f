"""What operators list: members, models, adapters, endpoints, services."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs


class EndpointKind(enum.Enum):
    """What runs at an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Adapter:
    """A LoRA adapter and its versions.

    :param owner: the member that the adapter belongs to
    :param current: the version that a request without a version gets
    """

    owner: str
    base_model: str
    versions: tuple[str, ...]
    current: str


@attrs.frozen
class Endpoint:
    """A back end at one address.

    :param slots: requests it runs at once
    :param adapter_slots: adapter versions it holds at once
    :param checks_fencing: whether it refuses an old fencing number
    :param leaving: whether operators want no new work on it
    """

    host: str
    port: int
    availability_zone: str
    kind: EndpointKind = EndpointKind.ENGINE
    base_model: str = ""
    slots: int = 8
    adapter_slots: int = 8
    checks_fencing: bool = False
    leaving: bool = False

    @property
    def is_engine(self) -> bool:
        return self.kind is EndpointKind.ENGINE

    def runs_model(self, base_model: str) -> bool:
        """Return whether it is an engine of a base model."""
        return self.is_engine and self.base_model == base_model


@attrs.frozen
class Service:
    """A plain service that is routed to by a path prefix.

    :param owner: the member that the service belongs to
    :param prefix: path prefix, such as `/services/updates`
    :param repeatable_methods: HTTP methods that may run more than once
    """

    owner: str
    prefix: str
    endpoints: tuple[str, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")


@attrs.frozen
class Inventory:
    """Everything that operators list, by name."""

    members: tuple[str, ...] = ()
    base_models: tuple[str, ...] = ()
    adapters: Mapping[str, Adapter] = attrs.field(factory=dict)
    endpoints: Mapping[str, Endpoint] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
