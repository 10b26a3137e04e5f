"""Tests of the clients of services with invalid answers."""

from __future__ import annotations

import json

import anyio
import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.core import failures
from bronzetrack.endpoints import client as endpoint_client
from bronzetrack.endpoints import reports
from bronzetrack.logservice import logservice
from bronzetrack.logservice import vmlist
from bronzetrack.wire import httpclient

PLAIN = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(2**63), 2**64 - 1),
        strategies.floats(),
        strategies.text(max_size=8),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(
                "name address state start end records offset boot"
                " produced_ms running loaded queued leaving".split()
            ),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=8,
)
DEEP = b"[" * 100_000 + b"]" * 100_000
JSON_BODIES = strategies.one_of(
    strategies.binary(max_size=60),
    PLAIN.map(lambda value: json.dumps(value).encode()),
    strategies.just(DEEP),
)
PACKED_BODIES = strategies.one_of(
    strategies.binary(max_size=60), PLAIN.map(msgpack.packb)
)


@pytest.fixture
def set_answer_to_requests(monkeypatch):
    """Return a function that sets the answer to every HTTP request."""

    def set_answer(body: bytes, status: int = 200) -> None:
        async def fetch(*arguments, **options) -> httpclient.HttpResponse:
            return httpclient.HttpResponse(status, {}, body)

        monkeypatch.setattr(httpclient, "fetch", fetch)

    return set_answer


def test_any_list_of_vms_is_read_or_rejected(set_answer_to_requests):
    """Guards against a list of VMs that crashes every daemon."""
    client = vmlist.VmListClient("http://127.0.0.1:1", None)

    @hypothesis.given(JSON_BODIES)
    def check(body: bytes) -> None:
        set_answer_to_requests(body)
        found = anyio.run(client.list_vms)
        assert isinstance(found, (tuple, failures.Failure))

    check()


def test_any_load_report_is_read_or_rejected(set_answer_to_requests):
    """Guards against a report that crashes the owner of an endpoint."""
    client = endpoint_client.EndpointClient(None, 5_000)
    endpoint = inventories.Endpoint("127.0.0.1", 1, "zone-a")

    @hypothesis.given(JSON_BODIES)
    def check(body: bytes) -> None:
        set_answer_to_requests(body)
        found = anyio.run(client.read_report, endpoint)
        assert isinstance(found, (reports.LoadReport, failures.Failure))

    check()


def test_any_answer_of_the_log_is_read_or_rejected(set_answer_to_requests):
    """Guards against an answer of the log that crashes every daemon."""
    client = logservice.LogClient("http://127.0.0.1:1", None)

    @hypothesis.given(PACKED_BODIES, strategies.sampled_from([200, 410, 503]))
    def check(body: bytes, status: int) -> None:
        set_answer_to_requests(body, status)
        batch = anyio.run(client.read, "keys", 0)
        assert isinstance(batch, (logservice.LogBatch, failures.Failure))
        offset = anyio.run(client.append, "keys", [])
        assert isinstance(offset, (int, failures.Failure))

    check()
