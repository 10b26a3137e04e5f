"""Callers' requests as endpoints get them."""

from __future__ import annotations

import pytest

from bronzetrack.entry import endpoints
from bronzetrack.entry import routes
from bronzetrack.platform import requests as wire_requests
from bronzetrack.transport import heads

ROUTE = routes.Route("r", "h", "/", (routes.Share("s", 1.0),), priority=2)


@pytest.fixture
def endpoint() -> endpoints.Endpoint:
    """Endpoint that a request goes to."""
    return endpoints.Endpoint("i-1", "s", "10.0.0.1:80", "z", 4)


def encode(headers, endpoint, body=b"", **fields):
    """Return a request as the endpoint gets it."""
    head = heads.Head(
        b"POST", b"/p/x?q=1", headers=[(b"Host", b"H.example:80"), *headers]
    )
    request = wire_requests.decode_request(head, body, 100.0)
    request.bind(ROUTE)
    return request, wire_requests.encode_request(
        request, endpoint, 1.5, **fields
    )


def test_path_query_and_body_stay_unchanged(endpoint):
    """Guards against a request that differs from the caller's."""
    request, data = encode([(b"X-Request-Id", b"ab")], endpoint, b"body")
    assert data.startswith(b"POST /p/x?q=1 HTTP/1.1\r\nHost: H.example:80\r\n")
    assert data.endswith(b"Content-Length: 4\r\n\r\nbody")
    assert b"X-Request-Id: ab\r\n" in data
    assert b"X-Deadline-Ms: 1500\r\n" in data
    assert b"X-Expect-Instance: i-1\r\n" in data
    assert request.host == "h.example"


@pytest.mark.parametrize(
    "name",
    [
        b"X-Hold",
        b"X-Pin-Ms",
        b"X-Kv-Backup",
        b"Kv-From",
        b"Kv-Fetch",
        b"X-Expect-Version",
        b"Transfer-Encoding",
        b"Keep-Alive",
        b"TE",
    ],
)
def test_headers_of_the_system_and_of_one_hop_are_dropped(endpoint, name):
    """Guards against callers who set what only the system may set."""
    _, data = encode([(name, b"forged")], endpoint)
    assert b"forged" not in data


def test_headers_that_a_connection_header_lists_are_dropped(endpoint):
    """Guards against headers of one hop, but keeps what a request needs."""
    _, data = encode(
        [
            (b"Connection", b"close, X-Odd, X-Model"),
            (b"X-Odd", b"1"),
            (b"X-Model", b"m/a1"),
        ],
        endpoint,
    )
    assert b"X-Odd" not in data
    assert b"X-Model: m/a1" in data
    assert b"X-Request-Priority: 2" in data


def test_model_and_adapter_are_read(endpoint):
    """Guards against a request that runs on the base model alone."""
    headers = [(b"X-Model", b"m/a1"), (b"X-Token-Usage", b"10,20")]
    request, _ = encode(headers, endpoint)
    assert request.need == ("m", "a1")
    assert (request.prompt_tokens, request.output_tokens) == (10, 20)


def test_resumed_stream_names_its_last_event_once(endpoint):
    """Guards against two different positions in one request."""
    headers = [(b"Last-Event-Id", b"3")]
    _, data = encode(headers, endpoint, resume_after=9)
    assert data.count(b"Last-Event-Id") == 1
    assert b"Last-Event-Id: 9" in data


@pytest.mark.parametrize("value", [b"", b"x", b"-5", b"1.5"])
def test_bad_deadline_gives_the_default(endpoint, value):
    """Guards against a malformed header that ends in an exception."""
    request, _ = encode([(b"X-Deadline-Ms", value)], endpoint)
    assert request.deadline >= 100.0
