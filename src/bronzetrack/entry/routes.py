"""Active configuration with its routes, services and limits."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bronzetrack.entry.workspaces import workspaces as workspace_tables


class RunPolicy(enum.Enum):
    """Whether a request of a route may run more than once."""

    SAFE = "safe"
    ONCE = "once"


@attrs.frozen(eq=False)
class WeightedService:
    """Service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(eq=False)
class Route:
    """Services of one host and path prefix, and what callers expect.

    :param weighted_services: services that the requests are distributed over
    :param run_policy: whether a request may run more than once
    :param streams: whether the answer is a stream of events
    :param resumable: whether a broken stream may continue at another endpoint
    :param max_attempts: number of endpoints that may run one request
    :param timeout_s: longest time until the final answer, in seconds
    :param target_s: time in seconds within which an answer is on time
    :param priority: priority of the requests, 0 is the most urgent
    :param caller_timeout_s: time in seconds after which callers that have
        received no answer disconnect
    :param is_public: whether requests need no key of a workspace
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    run_policy: RunPolicy = RunPolicy.ONCE
    streams: bool = False
    resumable: bool = False
    max_attempts: int = 1
    timeout_s: float = 30.0
    target_s: float = 1.0
    priority: int = 5
    caller_timeout_s: float = float("inf")
    is_public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.run_policy is RunPolicy.SAFE or self.resumable


@attrs.frozen(eq=False)
class Model:
    """A base model that the engines of a service may hold.

    :param weights_mb: size of the model's weights
    :param load_s: stated time of a load, in seconds
    :param adapter_mb: size of each adapter, 0 if unknown
    """

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_mb: float


@attrs.frozen(eq=False)
class EngineCapacity:
    """Capacity of each engine of a service.

    :param weights_mb: memory for the weights of models and adapters
    :param adapter_slots: maximum number of adapters
    :param loads_per_s: rate of model loads from the weight store, over all
        engines
    :param kv_tokens: memory for the tokens of requests and kept prompt parts,
        0 if unknown
    """

    models: tuple[Model, ...]
    capacity: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    kv_tokens: int = 0

    @property
    def adapter_capacity(self) -> int:
        """Number of adapters that fit beside the first model.

        Both the number of slots and the size of the memory limit it.
        """
        if not self.models or self.models[0].adapter_mb <= 0:
            return self.adapter_slots
        model = self.models[0]
        room_mb = max(0.0, self.weights_mb - model.weights_mb)
        return min(self.adapter_slots, int(room_mb // model.adapter_mb))


@attrs.frozen(eq=False)
class Service:
    """A group of equivalent endpoints.

    :param max_connections: number of connections that one endpoint accepts
    :param engine: capacity of each engine; None if the endpoints are no
        engines
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineCapacity | None = None

    @property
    def kv_tokens(self) -> int:
        """Memory of each engine for tokens, 0 if unknown or no engine."""
        return self.engine.kv_tokens if self.engine is not None else 0


@attrs.frozen(eq=False)
class Limits:
    """Limits on the size and duration of what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(eq=False)
class Configuration:
    """One version of the configuration.

    :param routes: routes by host in lower case, then by path prefix
    :param workspaces: workspaces whose keys requests carry, `None` if requests
        need no key
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    limits: Limits = Limits()
    workspaces: workspace_tables.Directory | None = None
    prefix_lengths: dict[str, list[int]] = attrs.field(init=False)

    @prefix_lengths.default
    def _list_prefix_lengths(self) -> dict[str, list[int]]:
        """Return the lengths of the prefixes of each host, longest first."""
        return {
            host: sorted(set(map(len, by_prefix)), reverse=True)
            for host, by_prefix in self.routes.items()
        }


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route whose prefix is the longest match of a path.

    The time depends on the prefixes of the host, and not on the path, which
    callers choose.

    :returns: the route, or None if no route matches
    """
    by_prefix = configuration.routes.get(host, {})
    lengths = configuration.prefix_lengths.get(host, ())
    found = (by_prefix.get(path[:length]) for length in lengths)
    return next((route for route in found if route is not None), None)
