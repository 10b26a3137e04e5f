"""Tests of entry VMs before endpoints that want no more requests."""

from __future__ import annotations

import asyncio

import attrs
from entry import sites
import pytest

from standins import rawhttp

pytestmark = pytest.mark.anyio
RETRY_AFTER_S = 2
# Requests that may still arrive after the time for the answer to be read.
MAX_LATE = 2
ANSWER_TIME_S = 0.5
LEAVING = {"Server-Leaving": "1", "X-Server-Signature": "p1"}
BUSY = {"X-Not-Executed": "1", "Retry-After": str(RETRY_AFTER_S)}


@pytest.fixture
def site(configured_site: sites.Site) -> sites.Site:
    """Deployment with a store and a configuration."""
    return configured_site


@attrs.define
class Recorder:
    """Endpoint that records arrivals and adds headers to each answer.

    :param arrivals: time of each arrival
    """

    status: int
    headers: dict[str, str]
    arrivals: list[float] = attrs.field(factory=list)

    async def handle(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request."""
        self.arrivals.append(asyncio.get_running_loop().time())
        echo = {"X-Request-Id": request.headers["x-request-id"]}
        answer = rawhttp.make_answer(
            self.status, b"whole", echo | self.headers
        )
        writer.write(answer)


async def start_vm(site: sites.Site, *recorders: Recorder) -> sites.Vm:
    """Start endpoints and a VM that is ready."""
    for number, recorder in enumerate(recorders, 1):
        await site.add_endpoint(f"p{number}", "plain", recorder.handle)
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    return vm


async def test_endpoint_whose_answer_says_that_it_leaves_gets_no_more(site):
    """Guards against requests to a leaving endpoint whose entry is ready."""
    leaving = Recorder(200, LEAVING)
    staying = Recorder(200, {"X-Server-Signature": "p2"})
    vm = await start_vm(site, leaving, staying)
    number = 0
    while not leaving.arrivals:
        number += 1
        await sites.send(vm.front, "/once/x", f"r{number}", body=b"x")
    await asyncio.sleep(0.1)
    site.announce("p1", sequence=9)
    await asyncio.sleep(1.5)
    for late in range(20):
        answer = await sites.send(vm.front, "/once/x", f"l{late}", body=b"x")
        assert answer.status == 200
    assert len(leaving.arrivals) == 1


async def test_only_endpoint_is_not_used_once_it_says_that_it_leaves(site):
    """Guards against requests that no endpoint should get."""
    leaving = Recorder(200, LEAVING)
    vm = await start_vm(site, leaving)
    first = await sites.send(vm.front, "/once/x", "r1", body=b"x")
    assert first.status == 200
    await asyncio.sleep(0.1)
    second = await sites.send(vm.front, "/once/x", "r2", body=b"x")
    assert second.status == 503
    assert len(leaving.arrivals) == 1
    site.announce("p1", born=1_700_000_000_001)
    await asyncio.sleep(1.5)
    third = await sites.send(vm.front, "/once/x", "r3", body=b"x")
    assert third.status == 200


async def test_endpoint_that_wants_a_pause_gets_no_requests_meanwhile(site):
    """Guards against requests within the Retry-After of an endpoint."""
    busy = [Recorder(503, BUSY) for _ in range(2)]
    vm = await start_vm(site, *busy)
    loop = asyncio.get_running_loop()
    started = loop.time()
    number = 0
    while loop.time() < started + RETRY_AFTER_S - 0.2:
        number += 1
        answer = await sites.send(vm.front, "/once/x", f"r{number}", body=b"x")
        assert answer.status == 503
        await asyncio.sleep(0.02)
    for recorder in busy:
        first = recorder.arrivals[0]
        late = [
            at
            for at in recorder.arrivals
            if first + ANSWER_TIME_S < at < first + RETRY_AFTER_S
        ]
        assert len(late) <= MAX_LATE
    assert 0 < float(answer.headers["retry-after"]) <= RETRY_AFTER_S
    # A request that may wait for the end of the pauses is not refused.
    await sites.send(vm.front, "/once/x", "after", body=b"x")
    assert any(
        recorder.arrivals[-1] >= recorder.arrivals[0] + RETRY_AFTER_S
        for recorder in busy
    )
