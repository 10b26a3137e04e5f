"""Codec of requests: decodes callers' and encodes those to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.entry.forwarding import events
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.suspects import suspectkeys
from bronzetrack.entry.workspaces import keys
from bronzetrack.platform import names

if TYPE_CHECKING:
    from bronzetrack.entry import endpoints
    from bronzetrack.transport import heads

DEFAULT_DEADLINE_S = 30.0
# Longer times that callers state count as this one. A time of hundreds of
# digits is no number for a clock.
MAX_DEADLINE_S = 86_400.0
CRLF = b"\r\n"
MIN_DEADLINE_MS = 1
# No prompt and no answer has more tokens. Larger numbers are mistakes.
MAX_TOKENS = 10_000_000
# Parts of a prompt beyond this number are not remembered.
MAX_PROMPT_PARTS = 32


def decode_request(
    head: heads.Head, body: bytes, now: float, caller: str = ""
) -> requests.Request:
    """Decode a caller's request and drop headers not to be forwarded.

    :param caller: IP address of the caller
    :param now: time at which the last byte of the request arrived
    """
    connection_headers = _list_connection_headers(head)
    forwarded: list[tuple[bytes, bytes]] = []
    identity: list[tuple[bytes, bytes]] = []
    first_values: dict[bytes, bytes] = {}
    for name, value in head.headers:
        lower_name = name.lower()
        first_values.setdefault(lower_name, value)
        if lower_name in names.HOP_BY_HOP or lower_name in names.RESERVED:
            continue
        if lower_name in connection_headers:
            continue
        kept = identity if lower_name in names.IDENTITY else forwarded
        kept.append((name, value))
    host, path = head.split_target()
    model, _, adapter = (
        first_values.get(names.MODEL, b"").decode("latin-1").partition("/")
    )
    usage = first_values.get(names.TOKEN_USAGE, b"")
    prompt, output = _decode_token_counts(usage)
    prompt_prefix = first_values.get(names.PROMPT_PREFIX, b"")
    deadline_ms = _decode_non_negative(first_values.get(b"x-deadline-ms", b""))
    return requests.Request(
        request_id=first_values.get(names.REQUEST_ID, b"").decode("latin-1"),
        method=head.method,
        target=head.target,
        host=host,
        authority=first_values.get(b"host", host.encode("latin-1")),
        path=path,
        headers=forwarded,
        identity_headers=identity,
        body=body,
        arrived_at=now,
        deadline=now + _limit_deadline(deadline_ms),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        caller=caller,
        shared_parts=_decode_shared_parts(prompt_prefix),
        prompt_parts=_decode_prompt_parts(prompt_prefix),
        length_hint=_decode_tokens(
            first_values.get(names.LENGTH_HINT, b"").strip()
        ),
        last_event_id=events.parse_id(first_values.get(b"last-event-id", b"")),
        key_digest=_compute_key_digest(head),
        states_usage=_states_usage(usage),
    )


def _compute_key_digest(head: heads.Head) -> bytes | None:
    """Return the digest of the key of a request, `None` without a key."""
    values = {
        value.strip(b" \t")
        for name, value in head.headers
        if name.lower() == names.KEY
    }
    if not values:
        return None
    return keys.compute_digest(values.pop()) if len(values) == 1 else keys.NONE


def _list_connection_headers(head: heads.Head) -> set[bytes]:
    """Return headers that Connection headers declare hop-by-hop.

    Headers in ALWAYS_FORWARDED are left out.
    """
    listed_names = {
        item.strip().lower()
        for name, value in head.headers
        if name.lower() == b"connection"
        for item in value.split(b",")
    }
    return listed_names - names.ALWAYS_FORWARDED


def _decode_non_negative(value: bytes) -> int | None:
    try:
        return max(0, int(value))
    except ValueError:
        return None


def _limit_deadline(deadline_ms: int | None) -> float:
    """Return for how long a caller waits, in seconds."""
    if deadline_ms is None:
        return DEFAULT_DEADLINE_S
    return min(deadline_ms, 1000 * MAX_DEADLINE_S) / 1000


def _decode_token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _decode_tokens(prompt), _decode_tokens(output)


def _decode_tokens(value: bytes) -> int:
    """Return a number of tokens, 0 if it is malformed."""
    return min(MAX_TOKENS, _decode_non_negative(value) or 0)


def _states_usage(value: bytes) -> bool:
    """Return whether a header states both numbers of tokens."""
    counts = value.split(b",")
    return len(counts) == 2 and all(
        item.strip().isdigit() and _decode_non_negative(item) is not None
        for item in counts
    )


def decode_retry_after(value: bytes | None) -> float | None:
    """Return the seconds of a Retry-After header, None for anything else."""
    try:
        seconds = float(value or b"")
    except ValueError:
        return None
    return seconds if seconds > 0 else None


def _decode_shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of the first parts of a prompt, without its last one.

    The last part belongs to the request itself or to its session.
    """
    parts = value.decode("latin-1").split(",", suspectkeys.MAX_PARTS)
    ids = (part.partition(":")[0].strip() for part in parts[:-1])
    return tuple(filter(None, ids))


def _decode_prompt_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    """Return the id and the number of tokens of the parts of a prompt.

    What follows a malformed part is left out: an engine that keeps it would
    need the part before it, too.
    """
    found: list[tuple[str, int]] = []
    items = value.decode("latin-1").split(",", MAX_PROMPT_PARTS)
    for item in items[:MAX_PROMPT_PARTS]:
        part, _, count = item.partition(":")
        tokens = _decode_tokens(count.strip().encode("latin-1"))
        if not part.strip() or not tokens:
            break
        found.append((part.strip(), tokens))
    return tuple(found)


def encode_request(
    request: requests.Request,
    endpoint: endpoints.Endpoint,
    remaining_s: float,
    version: int | None = None,
    resume_after: int | None = None,
    priority: int | None = None,
) -> bytes:
    """Encode a request for an endpoint.

    :param remaining_s: time left until the caller stops waiting, in seconds
    :param version: adapter version that the endpoint must have loaded
    :param resume_after: id of the last event that the caller has received
    :param priority: priority at an engine, `None` for that of the request
    """
    if priority is None:
        priority = request.priority
    remaining_ms = max(MIN_DEADLINE_MS, int(remaining_s * 1000))
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1",
        b"Host: " + request.authority,
        *(
            name + b": " + value
            for name, value in request.headers
            if resume_after is None or name.lower() != b"last-event-id"
        ),
        *(name + b": " + value for name, value in _list_identity(request)),
        names.DEADLINE + b": %d" % remaining_ms,
        names.EXPECT_INSTANCE + b": " + endpoint.identity.encode(),
    ]
    if request.model and request.route is not None:
        lines.append(names.PRIORITY + b": %d" % min(9, priority))
    if version is not None:
        lines.append(names.EXPECT_VERSION + b": %d" % version)
    if resume_after is not None:
        lines.append(names.LAST_EVENT_ID + b": %d" % resume_after)
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return CRLF.join(lines) + CRLF + CRLF + request.body


def _list_identity(request: requests.Request) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell an endpoint on whose behalf to work."""
    if request.workspace is None:
        return request.identity_headers
    return [(names.WORKSPACE_HEADER, request.workspace.name.encode())]
