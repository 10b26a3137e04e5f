"""Documents of the store, decoded once into the product's types."""

from __future__ import annotations

import json
from typing import Any

import attrs

from bronzetrack.core import errors
from bronzetrack.entry import endpoints
from bronzetrack.entry import routes

# Callers leave a stream after the longest of: this gap, so many times the
# target, so many times the allowed pause.
STREAM_GAP_S = 2.0
TARGET_GAPS = 4.0
PAUSE_GAPS = 8.0
READY = "ready"
DRAINING = "draining"
# What Python raises over values of the wrong kind.
MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class DocumentError(errors.BronzetrackError):
    """A document that cannot be read, with the reason."""


@attrs.frozen
class Announcement:
    """What an endpoint last said of itself in the store.

    :param announced: count of its announcements since it started
    :param leaves_in_s: time until it is stopped, if it said so
    """

    identity: str
    service: str
    address: str
    zone: str
    capacity: int
    draining: bool
    started_ms: int
    announced: int
    models: dict[str, int]
    adapters: dict[tuple[str, str], int]
    leaves_in_s: float | None = None

    def make_endpoint(self) -> endpoints.Endpoint:
        """Return a new endpoint as announced."""
        return endpoints.Endpoint(
            identity=self.identity,
            service=self.service,
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            started_ms=self.started_ms,
            models=dict(self.models),
            adapters=dict(self.adapters),
        )


@attrs.frozen
class Report:
    """What an engine says of itself when it is asked.

    :param sequence: orders that it has accepted since its start
    :param busy: whether an order for a base model is in progress
    :param pending: adapters on their way from the weight store
    """

    sequence: int
    started_ms: int
    models: dict[str, int]
    adapters: dict[tuple[str, str], int]
    busy: bool
    pending: frozenset[tuple[str, str]]


@attrs.frozen
class AdapterVersion:
    """The newest version of an adapter, as operators named it."""

    model: str
    adapter: str
    version: int


def _load(data: bytes) -> dict[str, Any]:
    try:
        document = json.loads(data)
    except ValueError as error:
        raise DocumentError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("not an object")
    return document


def _take(document: dict[str, Any], name: str, kind: type) -> Any:
    value = document.get(name)
    if isinstance(value, bool) and kind is not bool:
        raise DocumentError(f"{name} is not of type {kind.__name__}")
    if kind is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, kind):
        raise DocumentError(f"{name} is not of type {kind.__name__}")
    return value


def decode_configuration(data: bytes) -> routes.Configuration:
    """Return the configuration in a record.

    :raises DocumentError: it cannot be read
    """
    document = _load(data)
    try:
        found = [_decode_route(item) for item in document.get("routes", ())]
        services = {
            item["name"]: _decode_service(item)
            for item in document.get("services", ())
        }
        limits = _decode_limits(document.get("limits") or {})
    except MALFORMED as error:
        raise DocumentError(f"malformed configuration: {error!r}") from error
    by_host: dict[str, dict[str, routes.Route]] = {}
    for route in found:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return routes.Configuration(
        version=_take(document, "version", int),
        routes=by_host,
        services=services,
        limits=limits,
    )


def _decode_route(item: dict[str, Any]) -> routes.Route:
    kind = item["route_kind"]
    streams = kind == "streaming"
    resumable = streams and bool(item.get("resumable", False))
    shares = tuple(
        routes.Share(_take(part, "service", str), float(part["weight"]))
        for part in item.get("split") or ()
    ) or (
        routes.Share(_take(item, "service", str), 1.0),
    )
    return routes.Route(
        name=item.get("name", ""),
        host=_take(item, "hostname", str).lower(),
        prefix=_take(item, "path_prefix", str),
        shares=shares,
        repeat=routes.Repeat.SAFE if kind == "safe" else routes.Repeat.ONCE,
        streams=streams,
        resumable=resumable,
        max_attempts=int(item.get("max_attempts", 1)),
        timeout_s=float(item.get("timeout_ms", 30_000)) / 1000,
        target_s=float(item.get("aim_ms", 1_000)) / 1000,
        priority=int(item.get("priority", 5)),
        patience_s=_decode_patience(item) if streams else float("inf"),
    )


def _decode_patience(item: dict[str, Any]) -> float:
    return max(
        STREAM_GAP_S,
        TARGET_GAPS * float(item.get("aim_ms", 0)) / 1000,
        PAUSE_GAPS * float(item.get("gap_target_ms", 0)) / 1000,
    )


def _decode_service(item: dict[str, Any]) -> routes.Service:
    runtime = item.get("runtime")
    return routes.Service(
        name=item["name"],
        health_path=item.get("health_path", "/"),
        max_connections=int(item.get("max_conns", 64)),
        engine=_decode_engine(runtime) if runtime else None,
    )


def _decode_engine(item: dict[str, Any]) -> routes.Engine:
    return routes.Engine(
        models=tuple(
            routes.Model(
                name=model["name"],
                weights_mb=float(model.get("weights_mb", 0)),
                load_s=float(model.get("load_time_s", 0)),
                adapters=int(model.get("adapters", 0)),
                adapter_mb=float(model.get("adapter_mb", 0)),
            )
            for model in item.get("models") or ()
        ),
        capacity=int(item.get("capacity", 1)),
        weights_mb=float(item.get("weights_mb", 0)),
        adapter_slots=int(item.get("adapter_slots", 0)),
        loads_per_s=float(item.get("loads_per_s", 1)),
    )


def _decode_limits(item: dict[str, Any]) -> routes.Limits:
    default = routes.Limits()
    return routes.Limits(
        header_bytes=int(item.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(item.get("max_body_bytes", default.body_bytes)),
        header_timeout_s=_seconds(
            item, "header_timeout_ms", default.header_timeout_s
        ),
        idle_timeout_s=_seconds(
            item, "idle_timeout_ms", default.idle_timeout_s
        ),
    )


def _seconds(item: dict[str, Any], name: str, default: float) -> float:
    return float(item[name]) / 1000 if name in item else default


def decode_announcement(identity: str, data: bytes) -> Announcement:
    """Return what an endpoint's entry says.

    Entries may come from other writers, so every field is checked.

    :raises DocumentError: it names no endpoint to use
    """
    document = _load(data)
    state = _take(document, "state", str)
    if state not in (READY, DRAINING):
        raise DocumentError(f"unknown state {state!r}")
    address = _take(document, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DocumentError(f"malformed address {address!r}")
    remaining_ms = document.get("remaining_ms")
    models, adapters = decode_models(document.get("models") or ())
    return Announcement(
        identity=identity,
        service=_take(document, "service", str),
        address=address,
        zone=_take(document, "zone", str),
        capacity=_take(document, "capacity", int),
        draining=state == DRAINING,
        started_ms=_decode_start(document),
        # In an entry this counts announcements; in a report, orders.
        announced=_decode_count(document, "sequence"),
        models=models,
        adapters=adapters,
        leaves_in_s=(
            remaining_ms / 1000
            if isinstance(remaining_ms, (int, float))
            else None
        ),
    )


def decode_report(data: bytes) -> Report:
    """Return an engine's report.

    :raises DocumentError: it cannot be read
    """
    document = _load(data)
    models, adapters = decode_models(document.get("models") or ())
    return Report(
        sequence=_decode_count(document, "sequence"),
        started_ms=_decode_start(document),
        models=models,
        adapters=adapters,
        busy=document.get("busy") is True,
        pending=_decode_pending(document.get("pending") or ()),
    )


def _decode_pending(items: Any) -> frozenset[tuple[str, str]]:
    """Return adapters that are listed as MODEL/NAME@VERSION."""
    try:
        parts = [item.partition("/") for item in items]
        return frozenset(
            (model, split_version(adapter)[0]) for model, _, adapter in parts
        )
    except MALFORMED as error:
        raise DocumentError(f"malformed loads: {error!r}") from error


def _decode_start(document: dict[str, Any]) -> int:
    value = document.get("born", 0)
    return value if isinstance(value, int) else 0


def _decode_count(document: dict[str, Any], name: str) -> int:
    value = document.get(name, 0)
    return value if isinstance(value, int) else 0


def decode_models(
    items: Any,
) -> tuple[dict[str, int], dict[tuple[str, str], int]]:
    """Return the versions of the models and adapters that are held.

    :raises DocumentError: the list is malformed
    """
    models: dict[str, int] = {}
    adapters: dict[tuple[str, str], int] = {}
    try:
        for item in items:
            name = item["name"]
            models[name] = int(item.get("version", 1))
            for adapter in item.get("adapters") or ():
                bare, version = split_version(adapter)
                adapters[(name, bare)] = version
    except MALFORMED as error:
        raise DocumentError(f"malformed models: {error!r}") from error
    return models, adapters


def split_version(text: str) -> tuple[str, int]:
    """Return name and version of an adapter written NAME@VERSION."""
    name, separator, version = text.partition("@")
    return name, int(version) if separator else 1


def decode_version(data: bytes) -> AdapterVersion:
    """Return a new version of an adapter.

    :raises DocumentError: it cannot be read
    """
    document = _load(data)
    adapter = document.get("adapter")
    return AdapterVersion(
        model=_take(document, "model", str),
        adapter=adapter if isinstance(adapter, str) else "",
        version=_take(document, "version", int),
    )
