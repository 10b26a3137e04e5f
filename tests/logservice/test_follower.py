"""Tests of followers of streams."""

from __future__ import annotations

import anyio
import msgpack
import pytest

from bronzetrack.core import failures
from bronzetrack.logservice import follower
from bronzetrack.logservice import logservice
from bronzetrack.wire import httpclient

DOWN = failures.Failure(failures.Reason.LOG_UNAVAILABLE, "down")


class FakeLogService:
    """Log service with empty streams that answers long polls or is down."""

    def __init__(self):
        self.reads = []
        self.down = False

    async def fetch(self, pool, method, url, timeout_ms, **options):
        self.reads.append(url)
        if not self.down:
            await anyio.sleep(int(url.rpartition("wait_ms=")[2]) / 1000)
        if self.down:
            return DOWN
        body = msgpack.packb({"start": 0, "end": 0, "records": []})
        return httpclient.HttpResponse(200, {}, body)


@pytest.fixture
def service(monkeypatch):
    """Return a log service that answers the requests of every client."""
    fake = FakeLogService()
    monkeypatch.setattr(httpclient, "fetch", fake.fetch)
    return fake


async def collect(log, stream, seen, is_probe=False):
    batches = follower.follow_position(log, stream, lambda: 0, is_probe)
    async for batch in batches:
        seen.append(batch)


async def follow_outage(service):
    """Return the batches of a follower during an outage and after it."""
    log = logservice.LogClient("http://127.0.0.1:9", None)
    seen = []
    async with anyio.create_task_group() as group:
        group.start_soon(collect, log, "quiet", seen)
        group.start_soon(collect, log, "probed", [], True)
        await anyio.sleep(0.05)
        service.down = True
        before = len(seen)
        await anyio.sleep(follower.PROBE_WAIT_MS / 1000)
        outage = seen[before:]
        service.down = False
        await anyio.sleep(follower.RETRY_MS / 1000 + 0.1)
        recovery = seen[before + len(outage) :]
        group.cancel_scope.cancel()
    return outage, recovery


def test_outage_ends_waiting_reads_of_other_streams(service):
    """Guards against an outage of the log that is detected late.

    A follower with a long wait has to detect the outage together with the
    probe. It has to detect the end of the outage even if no record is
    appended.
    """
    outage, recovery = anyio.run(follow_outage, service)
    assert outage
    assert all(isinstance(batch, failures.Failure) for batch in outage)
    assert isinstance(recovery[-1], logservice.LogBatch)


async def find_first_batch(log):
    with anyio.fail_after(follower.PROBE_WAIT_MS / 2_000):
        async for batch in follower.follow_stream(log, "quiet"):
            return batch


def test_first_read_of_empty_stream_does_not_wait(service):
    """Guards against a VM that refuses keys while it waits for a record.

    A VM refuses idempotency keys until it has reached the end of the stream.
    """
    log = logservice.LogClient("http://127.0.0.1:9", None)
    batch = anyio.run(find_first_batch, log)
    assert batch.end == 0


async def read_beside_failure(service):
    """Return the result of a probe during which another read fails."""
    log = logservice.LogClient("http://127.0.0.1:9", None)
    found = []

    async def probe():
        found.append(await log.read("probed", 0, wait_ms=200))

    async with anyio.create_task_group() as group:
        group.start_soon(probe)
        await anyio.sleep(0.05)
        service.down = True
        await log.read("other", 0)
        service.down = False
    return found[0]


def test_failed_read_of_another_stream_does_not_end_probe(service):
    """Guards against an owner that takes one failed read for an outage.

    In an outage an owner without a lease dispatches, since no other VM can
    succeed it. A failed read of another stream does not prove an outage.
    """
    answer = anyio.run(read_beside_failure, service)
    assert isinstance(answer, logservice.LogBatch)
