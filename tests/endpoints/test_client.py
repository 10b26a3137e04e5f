"""Tests of the endpoint client with answers that are too large or wrong."""

from __future__ import annotations

from collections.abc import Callable
import json

import anyio
import httpcore
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.endpoints import client as endpoint_client
from bronzetrack.streaming import messages

ENGINE = inventories.Endpoint("127.0.0.1", 1, "zone-a")
WORK = messages.SubmitWork(
    "a1", "r1", "engine-0", "trust", "a@1", "normal", "POST", "/v1/x", b"", 9
)


class CountingStream(httpcore.AsyncMockStream):
    """Mock stream that counts the bytes that are read."""

    read_bytes = 0

    async def read(self, max_bytes: int, timeout=None) -> bytes:
        data = await super().read(max_bytes, timeout)
        CountingStream.read_bytes += len(data)
        return data


class CountingBackend(httpcore.AsyncMockBackend):
    """Mock network backend that connects to counting streams."""

    async def connect_tcp(self, *arguments, **options) -> CountingStream:
        return CountingStream(list(self._buffer))


@pytest.fixture
def make_client() -> Callable[[bytes], endpoint_client.EndpointClient]:
    """Return a function that makes a client with a mock endpoint.

    The endpoint answers each request with the given body.
    """

    def make(body: bytes) -> endpoint_client.EndpointClient:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        size = b"Content-Length: %d\r\n\r\n" % len(body)
        parts = [body[at : at + 65_536] for at in range(0, len(body), 65_536)]
        CountingStream.read_bytes = 0
        backend = CountingBackend([head + size, *parts])
        pool = httpcore.AsyncConnectionPool(network_backend=backend)
        return endpoint_client.EndpointClient(pool, 5_000)

    return make


@pytest.mark.parametrize("call", ["read_report", "load_adapter"])
def test_large_report_or_answer_to_order_is_not_read_whole(make_client, call):
    """Guards against memory use that grows with an endpoint's answer."""
    client = make_client(b" " * 50_000_000)
    arguments = ["a@1", 1] if call == "load_adapter" else []
    failure = anyio.run(getattr(client, call), ENGINE, *arguments)
    assert isinstance(failure, failures.Failure)
    assert "exceeds" in failure.detail
    assert CountingStream.read_bytes < 2_000_000


def read_answer(
    client: endpoint_client.EndpointClient, work: messages.SubmitWork
) -> failures.Failure:
    """Return the failure that the reading of an answer raises."""

    async def read() -> None:
        async with client.open_answer(ENGINE, work) as answer:
            async for _ in answer.iterate_chunks():
                pass

    with pytest.raises(errors.FailureError) as raised:
        anyio.run(read)
    return raised.value.failure


def test_large_unstreamed_answer_is_a_failure(make_client):
    """Guards against memory use that grows with the answer to a request."""
    failure = read_answer(make_client(b" " * 50_000_000), WORK)
    assert failure.reason is failures.Reason.ENDPOINT_PROTOCOL
    assert CountingStream.read_bytes < 18_000_000


@pytest.mark.parametrize("model", ["b" * 2_000_000, "\ud800", ["b"]])
def test_name_of_wrong_adapter_is_truncated(make_client, model):
    """Guards against a failure detail that does not fit into a message."""
    body = json.dumps({"model": model}).encode()
    failure = read_answer(make_client(body), WORK)
    assert failure.reason is failures.Reason.WRONG_ADAPTER
    assert failure.detail.isascii() and len(failure.detail) < 300
