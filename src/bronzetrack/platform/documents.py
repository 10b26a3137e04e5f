"""Decoders of the platform's JSON documents.

Each document is decoded once, into an internal type.
"""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Any

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry import routes
from bronzetrack.platform import fields
from bronzetrack.platform import tenants

# Callers abandon a stream after the longest of these times:
# MIN_CALLER_TIMEOUT_S, TARGET_FACTOR times the target time (`aim_ms`), and
# GAP_TARGET_FACTOR times the allowed gap between events (`gap_target_ms`).
MIN_CALLER_TIMEOUT_S = 2.0
TARGET_FACTOR = 4.0
GAP_TARGET_FACTOR = 8.0
MAX_PORT = 65_535
# Largest integer that every JSON implementation keeps exactly.
MAX_INTEGER = 2**53
# The escape of a surrogate, which may belong to a pair.
SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")
IDENTITY = re.compile(r"[\x21-\x7e]{1,255}")
READY = "ready"
DRAINING = "draining"
# Exceptions that Python raises when a field has a value of the wrong type.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


DocumentError = fields.DocumentError


@attrs.frozen
class Announcement:
    """The latest entry that an endpoint published in the store.

    :param announcement_count: number of announcements since the endpoint
        started
    :param stops_in_s: time until the endpoint is stopped, if announced
    """

    identity: str
    service: str
    address: str
    zone: str
    capacity: int
    draining: bool
    started_ms: int
    announcement_count: int
    models: dict[str, int]
    adapters: dict[tuple[str, str], int]
    stops_in_s: float | None = None

    def make_endpoint(self) -> endpoints.Endpoint:
        """Return a new endpoint with the announced attributes."""
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
    """The state that an engine returns to a report call.

    :param sequence: number of orders accepted since the engine started
    :param busy: whether an order for a base model is in progress
    :param pending: adapters that are being loaded from the weight store
    """

    sequence: int
    started_ms: int
    models: dict[str, int]
    adapters: dict[tuple[str, str], int]
    busy: bool
    pending: frozenset[tuple[str, str]]


@attrs.frozen
class AdapterVersion:
    """The newest version of an adapter, as published by operators."""

    model: str
    adapter: str
    version: int


def _parse_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object in UTF-8.

    Other writers may escape a lone surrogate. No text with one can be encoded
    again, for instance into a message to another VM.

    :raises DocumentError: it is malformed, or has text that is not Unicode
    """
    try:
        # json.loads accepts the bytes of a lone surrogate, str does not.
        document = json.loads(str(data, "utf-8"))
        if SURROGATE_ESCAPE.search(data):
            json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise DocumentError(
            f"the document is not valid JSON: {error}"
        ) from error
    if not isinstance(document, dict):
        raise DocumentError("the document is not a JSON object")
    return document


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decode the value of a configuration record.

    :raises DocumentError: the configuration is malformed
    """
    document = _parse_object(data)
    try:
        decoded = [_decode_route(item) for item in document.get("routes", ())]
        services = {
            item["name"]: _decode_service(item)
            for item in document.get("services", ())
        }
        limits = _decode_limits(document.get("limits") or {})
    except DECODE_ERRORS as error:
        raise DocumentError(f"malformed configuration: {error!r}") from error
    by_host: dict[str, dict[str, routes.Route]] = {}
    for route in decoded:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return routes.Configuration(
        version=fields.require_field(document, "version", int),
        routes=by_host,
        services=services,
        limits=limits,
        workspaces=tenants.decode_tenants(document),
    )


def _decode_route(item: dict[str, Any]) -> routes.Route:
    kind = item["route_kind"]
    streams = kind == "streaming"
    resumable = streams and bool(item.get("resumable", False))
    weighted_services = tuple(
        routes.WeightedService(
            fields.require_field(part, "service", str), float(part["weight"])
        )
        for part in item.get("split") or ()
    ) or (
        routes.WeightedService(
            fields.require_field(item, "service", str), 1.0
        ),
    )
    return routes.Route(
        name=item.get("name", ""),
        host=fields.require_field(item, "hostname", str).lower(),
        prefix=fields.require_field(item, "path_prefix", str),
        weighted_services=weighted_services,
        run_policy=(
            routes.RunPolicy.SAFE if kind == "safe" else routes.RunPolicy.ONCE
        ),
        streams=streams,
        resumable=resumable,
        max_attempts=int(item.get("max_attempts", 1)),
        timeout_s=float(item.get("timeout_ms", 30_000)) / 1000,
        target_s=float(item.get("aim_ms", 1_000)) / 1000,
        priority=int(item.get("priority", 5)),
        caller_timeout_s=(
            _decode_caller_timeout(item) if streams else float("inf")
        ),
        is_public=fields.read_flag(item, "public"),
    )


def _decode_caller_timeout(item: dict[str, Any]) -> float:
    return max(
        MIN_CALLER_TIMEOUT_S,
        TARGET_FACTOR * float(item.get("aim_ms", 0)) / 1000,
        GAP_TARGET_FACTOR * float(item.get("gap_target_ms", 0)) / 1000,
    )


def _decode_service(item: dict[str, Any]) -> routes.Service:
    runtime = item.get("runtime")
    return routes.Service(
        name=item["name"],
        health_path=item.get("health_path", "/"),
        max_connections=int(item.get("max_conns", 64)),
        engine=_decode_engine_capacity(runtime) if runtime else None,
    )


def _decode_engine_capacity(item: dict[str, Any]) -> routes.EngineCapacity:
    return routes.EngineCapacity(
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
        kv_tokens=max(0, int(item.get("kv_capacity", 0))),
    )


def _decode_limits(item: dict[str, Any]) -> routes.Limits:
    default = routes.Limits()
    return routes.Limits(
        header_bytes=int(item.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(item.get("max_body_bytes", default.body_bytes)),
        header_timeout_s=_decode_seconds(
            item, "header_timeout_ms", default.header_timeout_s
        ),
        idle_timeout_s=_decode_seconds(
            item, "idle_timeout_ms", default.idle_timeout_s
        ),
    )


def _decode_seconds(item: dict[str, Any], name: str, default: float) -> float:
    return float(item[name]) / 1000 if name in item else default


def decode_announcement(identity: str, data: bytes) -> Announcement:
    """Decode an endpoint's entry in the store.

    Entries may come from other writers, so every field is checked.

    :param identity: key of the entry, which identifies the endpoint
    :raises DocumentError: the entry does not describe a usable endpoint
    """
    document = _parse_object(data)
    state = fields.require_field(document, "state", str)
    if state not in (READY, DRAINING):
        raise DocumentError(f"unknown state {state!r}")
    if not IDENTITY.fullmatch(identity):
        raise DocumentError("the id is no value for a header")
    address = fields.require_field(document, "address", str)
    _check_address(address)
    capacity = fields.require_field(document, "capacity", int)
    if not 0 <= capacity <= MAX_INTEGER:
        raise DocumentError("capacity is out of range")
    models, adapters = decode_models(document.get("models") or ())
    return Announcement(
        identity=identity,
        service=fields.require_field(document, "service", str),
        address=address,
        zone=fields.require_field(document, "zone", str),
        capacity=capacity,
        draining=state == DRAINING,
        started_ms=_decode_start_time(document),
        # `sequence` counts announcements in an entry, but orders in a report.
        announcement_count=_decode_count(document, "sequence"),
        models=models,
        adapters=adapters,
        stops_in_s=_decode_stop(document.get("remaining_ms")),
    )


def _check_address(address: str) -> None:
    """Check that an address is an IP address and a port.

    An IPv6 address with a scope is refused: a scope is any text, which has a
    meaning on one machine only.

    :raises DocumentError: it is not
    """
    host, _, port = address.rpartition(":")
    try:
        ip_address = ipaddress.ip_address(host)
        is_port = 0 < int(port) <= MAX_PORT
    except ValueError as error:
        raise DocumentError(f"malformed address {address!r}") from error
    if isinstance(ip_address, ipaddress.IPv6Address) and ip_address.scope_id:
        raise DocumentError(f"the address {address!r} has a scope")
    if not is_port:
        raise DocumentError(f"the port of {address!r} is out of range")


def _decode_stop(remaining_ms: Any) -> float | None:
    """Return the time until an endpoint is stopped, in seconds.

    :raises DocumentError: the time is out of range
    """
    if not isinstance(remaining_ms, (int, float)):
        return None
    if not -MAX_INTEGER <= remaining_ms <= MAX_INTEGER:
        raise DocumentError("remaining_ms is out of range")
    return remaining_ms / 1000


def decode_report(data: bytes) -> Report:
    """Decode an engine's report.

    :raises DocumentError: the report is malformed
    """
    document = _parse_object(data)
    models, adapters = decode_models(document.get("models") or ())
    return Report(
        sequence=_decode_count(document, "sequence"),
        started_ms=_decode_start_time(document),
        models=models,
        adapters=adapters,
        busy=document.get("busy") is True,
        pending=_decode_pending(document.get("pending") or ()),
    )


def names_models(data: bytes) -> bool:
    """Return whether a document says which models an engine holds.

    :raises DocumentError: the document is malformed
    """
    return "models" in _parse_object(data)


def _decode_pending(items: Any) -> frozenset[tuple[str, str]]:
    """Return model and adapter of each item written MODEL/NAME@VERSION."""
    try:
        parts = [item.partition("/") for item in items]
        return frozenset(
            (model, split_version(adapter)[0]) for model, _, adapter in parts
        )
    except DECODE_ERRORS as error:
        raise DocumentError(f"malformed pending loads: {error!r}") from error


def _decode_start_time(document: dict[str, Any]) -> int:
    return _decode_count(document, "born")


def _decode_count(document: dict[str, Any], name: str) -> int:
    value = document.get(name, 0)
    if not isinstance(value, int):
        return 0
    return _check_range(value, name)


def _check_range(value: int, name: str) -> int:
    """Return a number that also fits into messages between VMs.

    :raises DocumentError: the number is out of range
    """
    if abs(value) > MAX_INTEGER:
        raise DocumentError(f"{name} is out of range")
    return value


def decode_models(
    items: Any,
) -> tuple[dict[str, int], dict[tuple[str, str], int]]:
    """Return the versions of the loaded models and adapters.

    :returns: versions by model, and by model and adapter
    :raises DocumentError: the list is malformed
    """
    models: dict[str, int] = {}
    adapters: dict[tuple[str, str], int] = {}
    try:
        for item in items:
            name = fields.require_field(item, "name", str)
            version = int(item.get("version", 1))
            models[name] = _check_range(version, "version")
            for adapter in item.get("adapters") or ():
                adapter_name, version = split_version(adapter)
                adapters[(name, adapter_name)] = _check_range(
                    version, "version"
                )
    except DECODE_ERRORS as error:
        raise DocumentError(f"malformed models: {error!r}") from error
    return models, adapters


def split_version(text: str) -> tuple[str, int]:
    """Split an adapter written NAME@VERSION; the default version is 1."""
    name, separator, version = text.partition("@")
    return name, int(version) if separator else 1


def decode_version(data: bytes) -> AdapterVersion:
    """Decode a record that publishes a new version of an adapter.

    :raises DocumentError: the record is malformed
    """
    document = _parse_object(data)
    adapter = document.get("adapter")
    return AdapterVersion(
        model=fields.require_field(document, "model", str),
        adapter=adapter if isinstance(adapter, str) else "",
        version=fields.require_field(document, "version", int),
    )
