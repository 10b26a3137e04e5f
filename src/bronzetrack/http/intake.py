"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

from collections.abc import Mapping
import hashlib
import json
from typing import Any

from bronzetrack.configuration import resolver
from bronzetrack.configuration import state
from bronzetrack.core import clock
from bronzetrack.core import failures
from bronzetrack.idempotency import keys
from bronzetrack.streaming import calls

CLASS_HEADER = "bronzetrack-class"
KEY_HEADER = "idempotency-key"
ISSUED_HEADER = "idempotency-issued-at"
DEFAULT_COST_TOKENS = 256
# These may differ between copies of a request and do not change its effect on
# an engine, so they are left out of its fingerprint.
FINGERPRINT_EXCLUDED_FIELDS = frozenset(
    {"model", "request_id", "user", "metadata", "priority"}
    | {"stream", "stream_options"}
)


def read_completion(
    request: str,
    configuration: state.Configuration,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_ms: int,
    now: clock.Instant,
) -> calls.CallerRequest | failures.Failure:
    """Return the request of a completions or chat call, or a failure."""
    fields = _read_object(body)
    if isinstance(fields, failures.Failure):
        return fields
    model = fields.get("model")
    if not isinstance(model, str):
        return _make_bad_request("model is missing or not a string")
    resolved = resolver.resolve_model(configuration, model)
    if isinstance(resolved, failures.Failure):
        return resolved
    work_class = _read_work_class(configuration, headers)
    if isinstance(work_class, failures.Failure):
        return work_class
    key = _read_key(resolved.member, headers, now)
    if isinstance(key, failures.Failure):
        return key
    cost = fields.get("max_tokens", DEFAULT_COST_TOKENS)
    if not isinstance(cost, int) or isinstance(cost, bool) or cost < 1:
        return _make_bad_request("max_tokens is not a positive whole number")
    engine_body = _write_engine_body(
        fields, resolved.adapter, configuration, work_class
    )
    return calls.CallerRequest(
        request=request,
        member=resolved.member,
        adapter=resolved.adapter,
        work_class=work_class,
        method="POST",
        path=path,
        body=engine_body,
        content_type="application/json",
        stream=fields.get("stream") is True,
        cost=cost,
        fingerprint=_digest(resolved.adapter, _dump_content(fields)),
        digest=_digest(path, _dump_sorted(fields)),
        endpoints=resolved.endpoints,
        repeatable=key is None,
        key=key,
        deadline_ms=now.monotonic_ms + timeout_ms,
    )


def read_service_call(
    request: str,
    configuration: state.Configuration,
    method: str,
    path: str,
    query: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_ms: int,
    now: clock.Instant,
) -> calls.CallerRequest | failures.Failure:
    """Return the request of a call to a plain service, or a failure."""
    resolved = resolver.resolve_service(configuration, path)
    if isinstance(resolved, failures.Failure):
        return resolved
    service = resolved.service
    repeatable = method in service.repeatable_methods
    key = _read_key(service.owner, headers, now)
    if isinstance(key, failures.Failure):
        return key
    if key is None and not repeatable:
        return failures.Failure(
            failures.Reason.KEY_REQUIRED,
            f"{method} at this service needs an Idempotency-Key",
        )
    work_class = _read_work_class(configuration, headers)
    if isinstance(work_class, failures.Failure):
        return work_class
    digest = _digest(f"{method} {path}?{query}", body)
    target = resolved.path + (f"?{query}" if query else "")
    return calls.CallerRequest(
        request=request,
        member=service.owner,
        adapter="",
        work_class=work_class,
        method=method,
        path=target,
        body=body,
        content_type=headers.get("content-type", "application/octet-stream"),
        stream=False,
        cost=1,
        fingerprint=digest,
        digest=digest,
        endpoints=service.endpoints,
        repeatable=repeatable and key is None,
        key=key,
        deadline_ms=now.monotonic_ms + timeout_ms,
    )


def _read_object(body: bytes) -> dict[str, Any] | failures.Failure:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _make_bad_request(f"the body is not JSON: {error}")
    if not isinstance(fields, dict):
        return _make_bad_request("the body is not a JSON object")
    return fields


def _read_work_class(
    configuration: state.Configuration, headers: Mapping[str, str]
) -> str | failures.Failure:
    rules = configuration.rules
    name = headers.get(CLASS_HEADER, rules.default_class)
    if name in rules.classes:
        return name
    known = ", ".join(rules.classes)
    return failures.Failure(
        failures.Reason.UNKNOWN_CLASS, f"{name!r}; known: {known}"
    )


def _read_key(
    member: str, headers: Mapping[str, str], now: clock.Instant
) -> keys.IdempotencyKey | failures.Failure | None:
    key = headers.get(KEY_HEADER)
    if key is None:
        return None
    return keys.check_key(member, key, headers.get(ISSUED_HEADER), now.wall_ms)


def _write_engine_body(
    fields: Mapping[str, Any],
    adapter: str,
    configuration: state.Configuration,
    work_class: str,
) -> bytes:
    """Return the body that is sent to the engine.

    The adapter version is fixed here, so that a version published while the
    request waits does not change which one it runs on. The priority is the
    rank of the work class in the rules; the caller's value is ignored.
    """
    rank = configuration.rules.classes[work_class].rank
    engine_body = {**fields, "model": adapter, "priority": rank}
    return json.dumps(engine_body).encode()


def _dump_content(fields: Mapping[str, Any]) -> bytes:
    """Return the part of a request that its fingerprint covers."""
    return _dump_sorted(
        {
            name: value
            for name, value in fields.items()
            if name not in FINGERPRINT_EXCLUDED_FIELDS
        }
    )


def _dump_sorted(fields: Mapping[str, Any]) -> bytes:
    return json.dumps(fields, sort_keys=True).encode()


def _digest(name: str, body: bytes) -> str:
    digest = hashlib.blake2b(name.encode() + b"\x00" + body, digest_size=16)
    return digest.hexdigest()


def _make_bad_request(detail: str) -> failures.Failure:
    return failures.Failure(failures.Reason.BAD_REQUEST, detail)
