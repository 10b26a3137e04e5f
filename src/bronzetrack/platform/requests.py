"""Callers' requests as they come, and as endpoints get them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.entry import requests
from bronzetrack.platform import names

if TYPE_CHECKING:
    from bronzetrack.entry import endpoints
    from bronzetrack.transport import heads

DEFAULT_DEADLINE_S = 30.0
CRLF = b"\r\n"
MIN_DEADLINE_MS = 1


def decode_request(
    head: heads.Head, body: bytes, now: float
) -> requests.Request:
    """Return the request that a caller sent.

    :param now: when its last byte arrived
    """
    dropped = _list_connection_headers(head)
    forwarded: list[tuple[bytes, bytes]] = []
    found: dict[bytes, bytes] = {}
    for name, value in head.headers:
        lower = name.lower()
        found.setdefault(lower, value)
        if lower in names.HOP_BY_HOP or lower in names.RESERVED:
            continue
        if lower in dropped:
            continue
        forwarded.append((name, value))
    host, path = head.split_target()
    model, _, adapter = (
        found.get(names.MODEL, b"").decode("latin-1").partition("/")
    )
    prompt, output = _decode_tokens(found.get(names.TOKENS, b""))
    deadline_s = _decode_number(found.get(b"x-deadline-ms", b""))
    return requests.Request(
        identity=found.get(names.REQUEST_ID, b"").decode("latin-1"),
        method=head.method,
        target=head.target,
        host=host,
        authority=found.get(b"host", host.encode("latin-1")),
        path=path,
        headers=forwarded,
        body=body,
        arrived=now,
        deadline=now
        + (DEFAULT_DEADLINE_S if deadline_s is None else deadline_s / 1000),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        last_event_id=_decode_number(found.get(b"last-event-id", b"")),
    )


def _list_connection_headers(head: heads.Head) -> set[bytes]:
    """Return headers that a Connection header confines to one hop."""
    listed = {
        item.strip().lower()
        for name, value in head.headers
        if name.lower() == b"connection"
        for item in value.split(b",")
    }
    return listed - names.ESSENTIAL


def _decode_number(value: bytes) -> int | None:
    try:
        return max(0, int(value))
    except ValueError:
        return None


def _decode_tokens(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _decode_number(prompt) or 0, _decode_number(output) or 0


def encode_request(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    remaining_s: float,
    version: int | None = None,
    resume_after: int | None = None,
) -> bytes:
    """Return a request as the endpoint gets it.

    :param remaining_s: time left until the caller stops waiting
    :param version: adapter version that the endpoint must hold
    :param resume_after: last event that the caller already has
    """
    route = request.route
    remaining_ms = max(MIN_DEADLINE_MS, int(remaining_s * 1000))
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1",
        b"Host: " + request.authority,
        *(
            name + b": " + value
            for name, value in request.headers
            if resume_after is None or name.lower() != b"last-event-id"
        ),
        names.DEADLINE + b": %d" % remaining_ms,
        names.EXPECT_INSTANCE + b": " + endpoint.identity.encode(),
    ]
    if request.model and route is not None:
        lines.append(names.PRIORITY + b": %d" % min(9, route.priority))
    if version is not None:
        lines.append(names.EXPECT_VERSION + b": %d" % version)
    if resume_after is not None:
        lines.append(names.LAST_EVENT_ID + b": %d" % resume_after)
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return CRLF.join(lines) + CRLF + CRLF + request.body
