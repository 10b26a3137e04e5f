"""Tests of planned stops of running daemons under load."""

from __future__ import annotations

import itertools
import signal

import anyio

from bronzetrack.wire import httpclient
from standins import site as sites
import traffic

CALLERS = 6
TOKENS = 300


def is_refused(reply):
    """Return whether a stopping VM refused a request."""
    outcome = reply.headers.get("bronzetrack-outcome")
    return reply.status == 503 and outcome == "refused"


async def stream_until(site, stopped, replies, caller):
    """Send long streams to one VM after another until an event is set."""
    async with httpclient.make_pool(1) as pool:
        for vm in itertools.cycle(site.vms.values()):
            if stopped.is_set():
                return
            call = traffic.make_completion(
                f"stream {caller}", "trust-1@1", "normal", TOKENS, True
            )
            reply = await traffic.exchange(pool, vm.callers, call)
            if reply is None or is_refused(reply):
                await anyio.sleep(traffic.RESEND_DELAY_S)
            else:
                replies.append(reply)


def restart_each(site):
    """Stop and start every daemon, one after another."""
    for vm in site.vms.values():
        vm.process.send_signal(signal.SIGTERM)
        assert vm.process.wait(sites.STOP_TIMEOUT_S) == 0
        site.start_vm(vm)
        site.wait(lambda: site.is_serving(vm.name))
        site.wait(site.is_settled)


def test_rolling_restart_interrupts_no_stream(site):
    """Guards against a planned stop that interrupts a stream."""
    replies = []

    async def run():
        stopped = anyio.Event()
        async with anyio.create_task_group() as group:
            for caller in range(CALLERS):
                group.start_soon(stream_until, site, stopped, replies, caller)
            await anyio.to_thread.run_sync(restart_each, site)
            stopped.set()

    anyio.run(run)
    incomplete = [
        (reply.status, reply.body[-200:])
        for reply in replies
        if reply.status != 200 or not reply.is_whole
    ]
    assert not incomplete
    assert len(replies) > CALLERS
    assert {len(traffic.read_events(reply.body)) for reply in replies} == {
        TOKENS
    }
