"""Tests of entry VMs before requests that crash endpoints."""

from __future__ import annotations

import asyncio

from entry import crashes
from entry import sites
import pytest

from standins import rawhttp

pytestmark = pytest.mark.anyio
ENDPOINTS = 6
DEADLY = b"deadly"
PREFIX_HEADER = "x-prompt-prefix"
# Crashes after which a request is refused.
CRASHES = 3
# Crashes after which prompts with a part are refused for good.
PART_CRASHES = 5
SENDS = 12
# Time within which each running VM has to know of the crashes.
SPREAD_S = 3.0


@pytest.fixture
def site(configured_site: sites.Site) -> sites.Site:
    """Deployment with a store and a configuration."""
    return configured_site


@pytest.fixture
async def plain(site: sites.Site) -> crashes.CrashingEndpoints:
    """Plain endpoints that a deadly body or path crashes."""
    endpoints = crashes.CrashingEndpoints(
        site,
        lambda request: DEADLY in (request.body, request.target[-6:].encode()),
    )
    for number in range(ENDPOINTS):
        await endpoints.add(f"p{number}", "plain")
    return endpoints


async def start_vm(site: sites.Site, name: str) -> sites.Vm:
    """Start a VM and wait until it is ready."""
    vm = await site.start_vm(name)
    await vm.await_ready()
    return vm


async def crash_endpoints(
    plain: crashes.CrashingEndpoints, vm: sites.Vm
) -> None:
    """Send a deadly request until it has crashed enough endpoints."""
    for number in range(CRASHES):
        await sites.send(vm.front, "/once/x", f"c{number}", body=DEADLY)
    assert len(plain.arrivals) == CRASHES
    await plain.await_restarts()


async def test_vm_that_starts_late_refuses_a_request_that_crashes_endpoints(
    site, plain
):
    """Guards against a restarted VM that lets a deadly request crash more."""
    first = await start_vm(site, "vm-1")
    await crash_endpoints(plain, first)
    second = await start_vm(site, "vm-2")
    await asyncio.sleep(SPREAD_S)
    answer = await sites.send(second.front, "/once/x", "late", body=DEADLY)
    assert answer.status == 503
    assert len(plain.arrivals) == CRASHES
    sound = await sites.send(second.front, "/once/x", "r1", body=b"sound")
    assert sound.status == 200


async def test_loss_of_all_vms_admits_no_request_that_crashes_endpoints(
    site, plain
):
    """Guards against knowledge of crashes that ends with the processes."""
    first = await start_vm(site, "vm-1")
    await crash_endpoints(plain, first)
    await asyncio.sleep(SPREAD_S)
    first.process.kill()
    await first.process.wait()
    second = await start_vm(site, "vm-2")
    answer = await sites.send(second.front, "/once/x", "late", body=DEADLY)
    assert answer.status == 503
    assert len(plain.arrivals) == CRASHES


async def test_request_without_a_body_that_crashes_endpoints_is_refused(
    site, plain
):
    """Guards against a GET that crashes one endpoint after another."""
    vm = await start_vm(site, "vm-1")
    for number in range(5):
        await sites.send(vm.front, "/safe/deadly", f"c{number}", "GET")
        await plain.await_restarts()
    # The last request before the refusal may be sent twice.
    assert len(plain.arrivals) <= CRASHES + 1
    answer = await sites.send(vm.front, "/safe/deadly", "late", "GET")
    assert answer.status == 503
    sound = await sites.send(vm.front, "/safe/sound", "r1", "GET")
    assert sound.status == 200


@pytest.fixture
async def engines(site: sites.Site) -> crashes.CrashingEndpoints:
    """Engines that a deadly part of a prompt crashes."""
    endpoints = crashes.CrashingEndpoints(
        site,
        lambda request: "dead:20" in request.headers.get(PREFIX_HEADER, ""),
    )
    for number in range(ENDPOINTS):
        await endpoints.add(f"e{number}", "engines")
    return endpoints


async def send_prompt(vm: sites.Vm, identity: str, *parts: str) -> int:
    """Send a stream request with a body of its own and return the status.

    :param parts: parts of the prompt before the one of the request itself
    """
    prefix = ",".join([*parts, f"{identity}:9"])
    headers = {"X-Model": "m", "X-Prompt-Prefix": prefix}
    body = identity.encode()
    answer = await sites.send(
        vm.front, "/stream/x", identity, body=body, headers=headers
    )
    return answer.status


async def test_prompts_with_a_part_that_crashes_endpoints_are_refused(
    site, engines
):
    """Guards against a prompt part that crashes one endpoint after another."""
    vms = [await start_vm(site, "vm-1"), await start_vm(site, "vm-2")]
    for number in range(SENDS):
        vm = vms[number % 2]
        await send_prompt(vm, f"d{number}", "a:10", "dead:20")
        await send_prompt(vm, f"s{number}", "a:10", "b:20")
        await engines.await_restarts()
        await asyncio.sleep(SPREAD_S / SENDS)
    arrivals = len(engines.arrivals)
    assert arrivals <= PART_CRASHES
    for vm in vms:
        assert await send_prompt(vm, "late", "a:10", "dead:20") == 503
        assert await send_prompt(vm, "sound", "a:10", "b:20") == 200
    assert len(engines.arrivals) == arrivals


async def test_request_whose_connections_are_reset_is_not_refused(site):
    """Guards against refusals of a sound request after lost answers."""
    resets = []

    async def handle(request, writer):
        if len(resets) < 2 * CRASHES:
            resets.append(request.headers["x-request-id"])
            writer.transport.abort()
            return
        echo = {
            "X-Request-Id": request.headers["x-request-id"],
            "X-Server-Signature": "p",
        }
        writer.write(rawhttp.make_answer(200, b"whole", echo))

    for number in range(ENDPOINTS):
        await site.add_endpoint(f"p{number}", "plain", handle)
    vm = await start_vm(site, "vm-1")
    for number in range(2 * CRASHES):
        await sites.send(vm.front, "/once/x", f"r{number}", body=b"sound")
    answer = await sites.send(vm.front, "/once/x", "last", body=b"sound")
    assert answer.status == 200
