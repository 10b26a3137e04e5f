"""Tests of the HTTP listeners with malformed and hostile input."""

from __future__ import annotations

import itertools
import json

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.core import failures
from bronzetrack.http import holds
from bronzetrack.http import statuses

REASONS = {reason.value for reason in failures.Reason}
COMPLETIONS = b"/v1/completions"
NOW_KEY = (b"idempotency-key", b"018f0000-0000-7000-8000-000000000000")

HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                b"bronzetrack-class",
                b"idempotency-key",
                b"idempotency-issued-at",
                b"content-type",
                b"content-length",
                b"host",
                b"x-other",
            ]
        ),
        strategies.binary(max_size=40),
    ),
    max_size=4,
)
JSON = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(
            strategies.characters(exclude_categories=[]), max_size=20
        ),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        ),
    ),
    max_leaves=10,
)
FIELDS = strategies.dictionaries(
    strategies.sampled_from(["model", "max_tokens", "stream", "prompt"]), JSON
)
BODIES = strategies.one_of(
    strategies.binary(max_size=200),
    JSON.map(lambda value: json.dumps(value).encode()),
    FIELDS.map(
        lambda value: json.dumps({"model": "launch-log", **value}).encode()
    ),
)


def check_reply(reply) -> None:
    """Check that a reply is a success, or a refusal with a known reason."""
    if reply.status == 200:
        return
    error = json.loads(reply.body)["error"]
    assert error["type"] in REASONS
    assert reply.status != 500, error
    assert reply.headers["bronzetrack-outcome"] == "refused"
    assert reply.headers["bronzetrack-request-id"]


def test_any_completion_call_is_answered(call):
    """Guards against a body or header that causes an internal error."""

    @hypothesis.given(BODIES, HEADERS)
    def check(body, headers) -> None:
        check_reply(call("POST", COMPLETIONS, [body], headers))

    check()


def test_any_service_call_is_answered(call):
    """Guards against forwarding a target or header that is not ASCII."""
    methods = strategies.sampled_from(["GET", "POST", "DELETE", "TRACE", "x"])
    tails = strategies.binary(max_size=30)

    @hypothesis.given(methods, tails, HEADERS)
    def check(method, tail, headers) -> None:
        target = b"/services/updates/" + tail
        reply = call(method, target, [b"body"], headers)
        check_reply(reply)
        for request in reply.served:
            assert request.path.isascii()
            assert request.content_type.isascii()

    check()


def test_any_lookup_is_answered(call):
    """Guards against an entry look-up that fails for an odd model name."""

    @hypothesis.given(strategies.binary(max_size=60), HEADERS)
    def check(query, headers) -> None:
        assert call("GET", b"/v1/entry?" + query, (), headers).status == 200
        check_reply(call("GET", b"/" + query, (), headers))

    check()


def test_any_operators_call_is_answered(operate):
    """Guards against a dump or a stop that fails for an odd path."""

    @hypothesis.given(strategies.text(max_size=20), strategies.binary())
    def check(section, query) -> None:
        target = b"/state/" + section.encode() + b"?limit=" + query
        assert operate("GET", target).status in (200, 400, 404)

    check()


@pytest.mark.parametrize(
    "body",
    [
        b'{"model": "launch-log", "max_tokens": 1' + b"0" * 400 + b"}",
        b'{"model": "launch-log", "x": ' + b"[" * 100_000 + b"]" * 100_000,
        b'{"model": "launch-log", "x": 1' + b"0" * 5_000 + b"}",
        b'{"model": "\\ud800"}',
    ],
)
def test_hostile_body_is_refused(call, body):
    """Guards against a single request that stops the whole daemon.

    A number of 400 digits in `max_tokens` did so in the fair-share
    computation and in the message to a peer.
    """
    reply = call("POST", COMPLETIONS, [body])
    assert reply.status in (400, 404)
    check_reply(reply)


def test_hostile_headers_are_refused(call):
    """Guards against a single request that stops the whole daemon.

    A non-ASCII `Content-Type` did so in the endpoint client. An issue time
    of 5,000 digits was answered with status 500.
    """
    target = b"/services/updates/a"
    kind = call("GET", target, (), [(b"content-type", b"\xe9")])
    assert kind.status == 400
    issued = (b"idempotency-issued-at", b"1" * 5_000)
    assert call("GET", target, (), [NOW_KEY, issued]).status == 400


def test_service_path_is_passed_on_encoded(call):
    """Guards against a path that is decoded before it is forwarded."""
    reply = call("GET", b"/services/updates/a%2Fb%20c%3Fd?e=%26")
    assert reply.served[0].path == "/a%2Fb%20c%3Fd?e=%26"


def test_oversized_body_is_read_to_the_limit_only(call, configured):
    """Guards against one caller that exhausts the memory of a VM."""
    part = b"x" * 65_536
    limit = configured.settings.limits.body_bytes
    reply = call("POST", COMPLETIONS, itertools.repeat(part))
    assert reply.status == 413
    assert reply.read_bytes <= limit + len(part)


def test_stalled_body_times_out(call, configured):
    """Guards against stalled callers that occupy a VM without a time limit."""
    limits = attrs.evolve(configured.settings.limits, body_timeout_ms=100)
    configured.settings = attrs.evolve(configured.settings, limits=limits)
    reply = call("POST", COMPLETIONS, [b'{"model"', ...])
    check_reply(reply)
    assert reply.status == 408
    assert reply.headers["connection"] == "close"


def test_refusal_has_the_id_that_is_recorded(call):
    """Guards against a refusal that operators cannot find in the logs."""
    reply = call("POST", COMPLETIONS, [b"{}"])
    assert reply.status == 400
    [refusal] = reply.refused
    assert reply.headers["bronzetrack-request-id"] == refusal.request


def test_disconnect_within_the_body_is_cancelled(call):
    """Guards against a traceback in the log for each impatient caller."""
    reply = call("POST", COMPLETIONS, [b"{", None])
    assert json.loads(reply.body)["error"]["type"] == "cancelled"


def test_bodies_in_progress_are_bounded():
    """Guards against many callers that together exhaust a VM's memory."""
    totals = holds.UsageTotals(max_requests=2, max_body_bytes=100)
    first, second, third = (holds.Reservation(totals) for _ in range(3))
    assert first.admit() is None and second.admit() is None
    assert third.admit().limit == "limits.open_requests"
    assert first.grow(60) is None
    assert second.grow(60).limit == "limits.open_body_bytes"
    first.release()
    assert second.grow(60) is None
    assert third.admit() is None


def test_reservation_ends_with_the_response(call, configured):
    """Guards against reservations that are never released.

    The VM would refuse every request once the limit is used up.
    """
    limits = configured.settings.limits
    body = b'{"model": "launch-log", "prompt": "%s"}' % (b"x" * 200_000)
    for _ in range(limits.open_body_bytes // len(body) + 1):
        reply = call("POST", COMPLETIONS, [body])
        assert reply.status == 200


def test_errors_of_the_router_have_the_same_shape(call):
    """Guards against a 404 or 405 whose body clients cannot parse."""
    for method, target in (("GET", b"/nowhere"), ("GET", COMPLETIONS)):
        reply = call(method, target)
        assert reply.status in (404, 405)
        check_reply(reply)


def test_each_status_is_an_error():
    """Guards against a failure that is sent with a success status."""
    for reason in failures.Reason:
        status = statuses.get_status(failures.Failure(reason))
        assert 400 <= status <= 599
