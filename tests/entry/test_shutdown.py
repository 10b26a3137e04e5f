"""Tests of what requests get while an entry VM shuts down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import attrs
from entry import sites
import pytest

from bronzetrack.entry import shutdown
from standins import rawhttp

pytestmark = pytest.mark.anyio
# Longer than the grace period of the tests' VMs, which is 3 s.
TIMEOUT_S = 20
HEADERS = {"X-Deadline-Ms": str(1000 * TIMEOUT_S)}


@attrs.define
class Endpoint:
    """Endpoint that answers requests once the test allows it.

    :param answered: number of requests that it answers
    :param arrivals: ids of the requests that arrived
    :param free: set once answers may be sent
    """

    answered: int = 2
    arrivals: list[str] = attrs.field(factory=list)
    free: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request."""
        identity = request.headers["x-request-id"]
        self.arrivals.append(identity)
        if len(self.arrivals) > self.answered:
            await asyncio.sleep(TIMEOUT_S)
        await self.free.wait()
        echo = {"X-Request-Id": identity, "X-Server-Signature": "p1"}
        writer.write(rawhttp.make_answer(200, b"whole", echo))


@pytest.fixture
async def endpoint(configured_site) -> Endpoint:
    """Only endpoint of its service, which takes one request at a time."""
    endpoint = Endpoint()
    configured_site.configure(
        version=4, alter=sites.make_full(1000 * TIMEOUT_S)
    )
    await configured_site.add_endpoint("p1", "plain", endpoint.handle)
    return endpoint


@pytest.fixture
async def vm(configured_site, endpoint) -> sites.Vm:
    """Entry VM that is ready for requests."""
    vm = await configured_site.start_vm("vm-1")
    await vm.await_ready()
    return vm


def send(vm: sites.Vm, identity: str) -> asyncio.Task[sites.Answer]:
    """Send a request that may not be repeated."""
    return asyncio.ensure_future(
        sites.send(vm.front, "/once/x", identity, body=b"x", headers=HEADERS)
    )


async def test_request_that_waits_until_the_end_of_the_grace_is_refused(
    vm, endpoint
):
    """Guards against a request that gets no answer though it has not run."""
    first = send(vm, "r1")
    await asyncio.sleep(0.2)
    waiting = send(vm, "r2")
    await asyncio.sleep(0.2)
    code = await vm.stop()
    answer = await waiting
    assert (answer.status, answer.whole) == (503, True)
    assert "retry-after" in answer.headers
    assert endpoint.arrivals == ["r1"]
    assert code == 0
    await first


async def test_request_that_cannot_end_within_the_grace_is_not_begun(
    vm, endpoint
):
    """Guards against a request that is passed on and cut soon after.

    The endpoint becomes free late in the grace period.
    """
    endpoint.answered = 1
    first = send(vm, "r1")
    await asyncio.sleep(0.2)
    waiting = send(vm, "r2")
    await asyncio.sleep(0.2)
    stopping = asyncio.ensure_future(vm.stop())
    await asyncio.sleep(2.2)
    endpoint.free.set()
    assert (await first).status == 200
    assert (await waiting).status == 503
    assert endpoint.arrivals == ["r1"]
    assert await stopping == 0


async def test_request_at_an_endpoint_at_the_end_of_the_grace_is_answered(
    vm, endpoint
):
    """Guards against a connection that is closed without an answer.

    The endpoint still works on the request, so that the answer must not say
    that it has not run.
    """
    first = send(vm, "r1")
    await asyncio.sleep(0.2)
    assert await vm.stop() == 0
    answer = await first
    assert (answer.status, answer.whole) == (504, True)


async def test_request_that_ends_within_the_grace_is_served(vm, endpoint):
    """Guards against refusals of requests that could be served."""
    first = send(vm, "r1")
    await asyncio.sleep(0.2)
    waiting = send(vm, "r2")
    await asyncio.sleep(0.2)
    stopping = asyncio.ensure_future(vm.stop())
    await asyncio.sleep(0.5)
    endpoint.free.set()
    assert (await first).status == 200
    assert (await waiting).status == 200
    assert await stopping == 0


async def test_signals_in_a_row_end_in_one_planned_stop(vm):
    """Guards against a stop that counts as a failure of the process.

    The last of the signals come after their handlers have been removed.
    """
    while vm.process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            vm.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.001)
    assert vm.process.returncode == 0


@pytest.mark.parametrize(
    ("grace_s", "address_ttl_s", "accepting_s"),
    [(8, 2, 2.4), (30, 2, 2.5), (1, 2, 0.3)],
)
def test_requests_are_accepted_while_callers_know_the_address(
    now, grace_s, address_ttl_s, accepting_s
):
    """Guards against requests that are accepted late in a long grace period.

    Callers do not know the address any more, and what they send could be cut.
    """
    schedule = shutdown.plan_shutdown(now, grace_s, address_ttl_s)
    assert schedule.accepts_until == pytest.approx(now + accepting_s)
    assert schedule.accepts_until < schedule.sends_until < schedule.ends_at
    assert schedule.ends_at < schedule.exits_at < now + grace_s


@pytest.mark.parametrize(
    ("deadline_s", "sent_s", "expected"),
    [(60, 3.9, True), (60, 4.1, False), (7, 4.1, True), (60, -1, True)],
)
def test_request_is_sent_only_if_it_can_end_in_time(
    now, deadline_s, sent_s, expected
):
    """Guards against sends that the shutdown cuts, and against idle time."""
    schedule = shutdown.plan_shutdown(now, 8.0, 2.0)
    sent = shutdown.may_send(schedule, now + deadline_s, now + sent_s)
    assert sent is expected
    assert shutdown.may_send(None, now + deadline_s, now + sent_s)
