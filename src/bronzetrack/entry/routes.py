"""The configuration in force: routes, services and limits."""

from __future__ import annotations

import enum

import attrs


class Repeat(enum.Enum):
    """How often a request of a route may run."""

    SAFE = "safe"
    ONCE = "once"


@attrs.frozen(eq=False)
class Share:
    """Part of the requests of a route that a service gets."""

    service: str
    weight: float


@attrs.frozen(eq=False)
class Route:
    """Where the requests of one path go, and what callers expect.

    :param streams: the answer is a stream of events
    :param resumable: a broken stream may continue at another endpoint
    :param max_attempts: endpoints that may run one request
    :param timeout_s: longest time until the final answer
    :param target_s: time within which an answer is on time
    :param patience_s: time after which callers leave without any answer
    :param priority: rank, 0 is the most urgent
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat = Repeat.ONCE
    streams: bool = False
    resumable: bool = False
    max_attempts: int = 1
    timeout_s: float = 30.0
    target_s: float = 1.0
    priority: int = 5
    patience_s: float = float("inf")

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat is Repeat.SAFE or self.resumable


@attrs.frozen(eq=False)
class Model:
    """A base model that the engines of a service may hold."""

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_mb: float


@attrs.frozen(eq=False)
class Engine:
    """What each engine of a service has room for.

    :param loads_per_s: model loads from the weight store, over all engines
    """

    models: tuple[Model, ...]
    capacity: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float

    @property
    def places(self) -> int:
        """Adapters that fit beside the first model, by number and by size."""
        if not self.models or self.models[0].adapter_mb <= 0:
            return self.adapter_slots
        model = self.models[0]
        room_mb = max(0.0, self.weights_mb - model.weights_mb)
        return min(self.adapter_slots, int(room_mb // model.adapter_mb))


@attrs.frozen(eq=False)
class Service:
    """A group of equal endpoints.

    :param max_connections: connections that one endpoint accepts
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


@attrs.frozen(eq=False)
class Limits:
    """Bounds of what callers may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(eq=False)
class Configuration:
    """One version of the configuration.

    :param routes: by host in lower case, then by path prefix
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    limits: Limits = Limits()


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of a path.

    Prefixes end with a slash, so that only the slashes of the path count.
    """
    by_prefix = configuration.routes.get(host)
    if not by_prefix:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
