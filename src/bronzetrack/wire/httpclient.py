"""HTTP client whose `fetch` returns failures in place of exceptions."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib

import attrs
import httpcore

from bronzetrack.core import failures

CONNECT_TIMEOUT_S = 1.0

ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)


@attrs.frozen
class HttpResponse:
    """A response whose body was read to the end."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def make_pool(connections: int) -> httpcore.AsyncConnectionPool:
    """Return a pool of HTTP connections.

    :param connections: the most connections that are open at once
    """
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        max_keepalive_connections=connections,
        keepalive_expiry=30.0,
    )


def _make_timeouts(timeout_ms: int) -> dict[str, float]:
    seconds = timeout_ms / 1000
    return {
        "connect": min(CONNECT_TIMEOUT_S, seconds),
        "read": seconds,
        "write": seconds,
        "pool": seconds,
    }


def read_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the headers of a response with names in lower case."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def _encode_latin1(text: str) -> bytes:
    """Return text encoded for a header or a request line.

    :raises httpcore.LocalProtocolError: the text is not Latin-1, for which
        httpcore would raise a TypeError
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        raise httpcore.LocalProtocolError(
            f"{text!a} cannot stand in a request"
        ) from None


def _parse_url(url: str) -> httpcore.URL:
    """Return a URL that is parsed for httpcore.

    :raises httpcore.LocalProtocolError: the text is not a valid URL, for
        which httpcore would raise a ValueError
    """
    try:
        return httpcore.URL(_encode_latin1(url))
    except ValueError as error:
        raise httpcore.LocalProtocolError(f"{url!a}: {error}") from None


@contextlib.asynccontextmanager
async def open_stream(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    timeout_ms: int,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> AsyncIterator[httpcore.Response]:
    """Send a request and open its streamed response.

    The exceptions in ERRORS are raised to the caller.

    :param timeout_ms: limit for each read, not for the whole response
    """
    sent = {"Content-Length": str(len(body)), **(headers or {})}
    async with pool.stream(
        _encode_latin1(method),
        _parse_url(url),
        headers=[
            (_encode_latin1(name), _encode_latin1(value))
            for name, value in sent.items()
        ],
        content=body,
        extensions={"timeout": _make_timeouts(timeout_ms)},
    ) as response:
        yield response


async def read_body(
    response: httpcore.Response, limit_bytes: int | None
) -> bytes | None:
    """Return the body of a response, None if it exceeds a limit.

    :param limit_bytes: the largest body that is read, None for no limit
    """
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if limit_bytes is not None and len(body) > limit_bytes:
            return None
    return bytes(body)


async def fetch(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    timeout_ms: int,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    failure_reason: failures.Reason = failures.Reason.ENDPOINT_UNREACHABLE,
    limit_bytes: int | None = None,
) -> HttpResponse | failures.Failure:
    """Send a request and return its whole response or a failure.

    :param timeout_ms: limit for each read, not for the whole response
    :param failure_reason: reason of the failures that are returned
    :param limit_bytes: the largest body that is read, None for no limit
    """
    try:
        async with open_stream(
            pool, method, url, timeout_ms, body, headers
        ) as response:
            content = await read_body(response, limit_bytes)
            if content is None:
                return failures.Failure(
                    failure_reason,
                    f"{method} {url}: the answer exceeds {limit_bytes} bytes",
                )
            return HttpResponse(
                response.status, read_headers(response), content
            )
    except ERRORS as error:
        return failures.Failure(
            failure_reason, f"{method} {url}: {type(error).__name__}: {error}"
        )
