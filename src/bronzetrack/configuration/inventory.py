"""The inventory: members, base models, adapters, endpoints and services."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs


class EndpointKind(enum.Enum):
    """The kind of back end that an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Adapter:
    """A LoRA adapter and its versions.

    :param owner: the member that owns the adapter
    :param base_model: the base model that the adapter extends
    :param versions: the available versions
    :param current: version for requests that specify none
    """

    owner: str
    base_model: str
    versions: tuple[str, ...]
    current: str


@attrs.frozen
class Endpoint:
    """A back end at one network address.

    :param slots: maximum number of concurrent requests
    :param adapter_slots: maximum number of loaded adapter versions
    :param checks_fencing: whether the endpoint rejects old fencing tokens
    :param leaving: whether operators want the endpoint to get no new work
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
        """Whether the endpoint is an inference engine."""
        return self.kind is EndpointKind.ENGINE

    def runs_model(self, base_model: str) -> bool:
        """Return whether the endpoint is an engine with a base model."""
        return self.is_engine and self.base_model == base_model


@attrs.frozen
class Service:
    """A plain service to which requests are routed by path prefix.

    :param owner: the member that owns the service
    :param prefix: path prefix, such as `/services/updates`
    :param endpoints: names of the endpoints that run the service
    :param repeatable_methods: HTTP methods that may be executed more than once
    """

    owner: str
    prefix: str
    endpoints: tuple[str, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")


@attrs.frozen
class Inventory:
    """All entries that operators publish, by name."""

    members: tuple[str, ...] = ()
    base_models: tuple[str, ...] = ()
    adapters: Mapping[str, Adapter] = attrs.field(factory=dict)
    endpoints: Mapping[str, Endpoint] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
