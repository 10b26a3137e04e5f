"""Tests of entry VMs whose store is restored from an older copy."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal

import attrs
from entry import crashes
from entry import sites
import pytest

from standins import rawhttp

pytestmark = pytest.mark.anyio
# Time of the VMs of tests to renew the lease (0.9 s), and to miss an entry.
RENEWAL_S = 0.5
GONE_S = 3.0


@attrs.define
class StoreLink:
    """Way of one VM to the store, which can be cut.

    :param server: relays calls to the store
    """

    site: sites.Site
    server: rawhttp.RawServer = attrs.field(init=False)
    is_cut: bool = False

    def __attrs_post_init__(self) -> None:
        self.server = rawhttp.RawServer(self._handle)
        self.site.servers.append(self.server)

    async def _handle(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_cut:
            await self.site.log.handle(request, writer)
        if self.is_cut:
            writer.transport.abort()


@pytest.fixture
async def site(configured_site) -> sites.Site:
    """Deployment with endpoints, whose store states eras."""
    configured_site.log.era = 1
    await configured_site.add_endpoints()
    return configured_site


@pytest.fixture
async def vm(site) -> sites.Vm:
    """Entry VM that is ready for requests."""
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    return vm


async def send_stream(
    vm: sites.Vm, identity: str, adapter: str
) -> sites.Answer:
    """Send a request for an adapter."""
    headers = {"X-Model": f"m/{adapter}"}
    return await sites.send(vm.front, "/stream/x", identity, headers=headers)


async def replace(site: sites.Site, vm: sites.Vm, name: str) -> sites.Vm:
    """Kill a VM, and start another that becomes ready."""
    vm.process.kill()
    await vm.process.wait()
    second = await site.start_vm(name)
    await second.await_ready()
    return second


def list_tokens(site: sites.Site) -> list[int]:
    """Return the fencing tokens of all orders in their order of arrival."""
    orders = [item for e in site.engines.values() for item in e.orders]
    return [item["fence"] for item in orders]


@pytest.mark.parametrize("kept", [0, 1, 3])
async def test_orders_go_on_after_a_restore(site, vm, kept):
    """Guards against a lease that no VM can renew any more.

    The engines have seen tokens that the copy does not know.

    :param kept: renewals that the copy has
    """
    first = await send_stream(vm, "r1", "a1")
    assert first.status == 200
    copy = site.log.copy()
    copy["leases"] = copy["leases"][:kept]
    await asyncio.sleep(2 * RENEWAL_S)
    before = max(list_tokens(site))
    site.log.restore(copy)
    await asyncio.sleep(RENEWAL_S)
    answer = await send_stream(vm, "r2", "a2")
    assert (answer.status, answer.whole) == (200, True)
    assert list_tokens(site)[-1] > before
    events = [item["event"] for item in site.read_events("vm-1")]
    assert events.count("store_restored") == 1
    assert events.count("lease_taken") == 1


async def test_other_vm_does_not_take_the_lease_after_a_restore(site, vm):
    """Guards against orders of two VMs after each restore."""
    other = await site.start_vm("vm-2")
    await other.await_ready()
    await send_stream(vm, "r1", "a1")
    copy = site.log.copy()
    await asyncio.sleep(2 * RENEWAL_S)
    for _ in range(2):
        site.log.restore(copy)
        await asyncio.sleep(RENEWAL_S)
    answer = await send_stream(other, "r2", "a2")
    assert answer.status == 200
    holders = {
        item["holder"] for e in site.engines.values() for item in e.orders
    }
    assert holders == {"vm-1"}
    tokens = [
        [item["fence"] for item in engine.orders]
        for engine in site.engines.values()
    ]
    assert all(item == sorted(item) for item in tokens)


async def test_configuration_of_the_copy_does_not_undo_a_newer_one(site, vm):
    """Guards against a route that is open again after a restore."""
    copy = site.log.copy()
    site.configure(4, alter=lambda document: document["routes"].pop())
    await site.await_event("vm-1", "configuration")
    await asyncio.sleep(RENEWAL_S)
    site.log.restore(copy)
    await site.await_event("vm-1", "store_restored")
    await asyncio.sleep(RENEWAL_S)
    answer = await sites.send(vm.front, "/safe/x", "r1")
    assert answer.status == 404
    # What the operator writes in the new history has effect.
    site.configure(5)
    await asyncio.sleep(2 * RENEWAL_S)
    answer = await sites.send(vm.front, "/safe/x", "r2")
    assert answer.status == 200


async def test_endpoint_that_leaves_is_not_used_after_a_restore(site, vm):
    """Guards against requests to an endpoint that the copy has as ready."""
    copy = site.log.copy()
    site.announce("p1", state="draining", sequence=2)
    await site.await_event("vm-1", "endpoint_leaving")
    site.log.restore(copy)
    await site.await_event("vm-1", "store_restored")
    await asyncio.sleep(2 * RENEWAL_S)
    for number in range(10):
        await sites.send(vm.front, "/safe/x", f"r{number}")
    assert site.engines["p1"].runs == []
    assert len(site.engines["p2"].runs) == 10


async def test_endpoint_that_the_copy_lacks_is_used_on(site, vm):
    """Guards against an endpoint that is lost with its entry.

    It writes the entry again, with the same count.
    """
    copy = site.log.copy()
    await site.add_endpoint("p3", "plain")
    for identity in ("p1", "p2"):
        site.announce(identity, state="draining", sequence=2)
    await asyncio.sleep(2 * RENEWAL_S)
    site.log.restore(copy)
    await site.await_event("vm-1", "endpoint_removed")
    answer = await sites.send(vm.front, "/safe/x", "r1")
    assert answer.status == 200
    site.announce("p3")
    await asyncio.sleep(GONE_S)
    answer = await sites.send(vm.front, "/safe/x", "r2")
    assert answer.status == 200
    assert site.engines["p3"].runs == ["r1", "r2"]


async def test_endpoint_that_does_not_come_again_is_gone(site, vm):
    """Guards against an endpoint that is used without an entry."""
    copy = site.log.copy()
    await site.add_endpoint("p3", "plain")
    await asyncio.sleep(2 * RENEWAL_S)
    site.log.restore(copy)
    await asyncio.sleep(2 * RENEWAL_S + GONE_S)
    for number in range(10):
        await sites.send(vm.front, "/safe/x", f"r{number}")
    assert site.engines["p3"].runs == []


@pytest.mark.parametrize("is_writer_gone", [False, True])
async def test_evidence_of_crashes_is_written_again(
    configured_site, is_writer_gone
):
    """Guards against a fourth crash after a restore and a loss of all VMs.

    :param is_writer_gone: whether the VM that wrote it has ended before, and
        one that has only read it is left
    """
    site = configured_site
    site.log.era = 1
    plain = crashes.CrashingEndpoints(
        site, lambda request: request.body == b"deadly"
    )
    for number in range(4):
        await plain.add(f"p{number}", "plain")
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    copy = site.log.copy()
    for number in range(3):
        await sites.send(vm.front, "/once/x", f"c{number}", body=b"deadly")
        await plain.await_restarts()
    await asyncio.sleep(RENEWAL_S)
    if is_writer_gone:
        vm = await replace(site, vm, "vm-2")
    site.log.restore(copy)
    name = "vm-2" if is_writer_gone else "vm-1"
    await site.await_event(
        name, "lost_records_rewritten", topic="keyed.suspects"
    )
    await asyncio.sleep(RENEWAL_S)
    vm = await replace(site, vm, "vm-3")
    answer = await sites.send(vm.front, "/once/x", "late", body=b"deadly")
    assert answer.status == 503
    assert len(plain.arrivals) == 3


async def test_vm_that_is_added_finds_the_others_after_a_restore(site):
    """Guards against a VM that takes itself for the only one.

    The store has lost the announcement of the other VM.
    """
    copy = site.log.copy()
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    site.log.restore(copy)
    await site.start_vm("vm-2")
    for name in ("vm-1", "vm-2"):
        await site.await_event(name, "joining_changed", joining=False)
        assert not any(
            item["known"] == 0
            for item in site.read_events(name)
            if item["event"] == "joining_changed"
        )


async def test_state_dump_and_metrics_tell_the_era(site, vm):
    """Guards against a restore that operators cannot see."""
    site.log.restore(site.log.copy())
    await site.await_event("vm-1", "store_restored")
    await asyncio.sleep(RENEWAL_S)
    lease = json.loads((await vm.get("/state")).body)["lease"]
    assert lease["era"] == 2
    metrics = (await vm.get("/metrics")).body
    assert b"bronzetrack_entry_store_era 2.0" in metrics
    assert b"bronzetrack_entry_store_restores_total 1.0" in metrics


async def test_restores_during_loads_and_unloads(site, vm):
    """Guards against orders that are given twice, or beyond the slots.

    Each load takes longer than the time between two restores.
    """
    for engine in site.engines.values():
        engine.load_s = RENEWAL_S
    copy = site.log.copy()

    async def restore_often() -> None:
        while True:
            site.log.restore(copy)
            await asyncio.sleep(RENEWAL_S / 2)

    task = asyncio.create_task(restore_often())
    names = [f"a{number}" for number in range(6)]
    answers = [await send_stream(vm, f"r-{name}", name) for name in names]
    task.cancel()
    assert [item.status for item in answers] == 6 * [200]
    assert not any(engine.overflows for engine in site.engines.values())
    loads = [
        order["adapter"]
        for engine in site.engines.values()
        for order in engine.orders
        if order.get("operation") == "load" and "adapter" in order
    ]
    assert sorted(loads) == names


@pytest.mark.parametrize("is_restored_first", [True, False])
async def test_restore_at_a_handover(site, vm, is_restored_first):
    """Guards against a released lease that nobody takes any more.

    The copy has none of the records of the hand-over.
    """
    other = await site.start_vm("vm-2")
    await other.await_ready()
    await send_stream(vm, "r1", "a1")
    before = max(list_tokens(site))
    copy = site.log.copy()
    if is_restored_first:
        site.log.restore(copy)
    await vm.stop()
    if not is_restored_first:
        site.log.restore(copy)
    # A candidate waits for the whole duration.
    await asyncio.sleep(4 * RENEWAL_S)
    answer = await send_stream(other, "r2", "a2")
    assert answer.status == 200
    assert list_tokens(site)[-1] > before


async def test_holder_that_stood_still_over_a_restore(site, vm):
    """Guards against orders with tokens of the lost history."""
    other = await site.start_vm("vm-2")
    await other.await_ready()
    await send_stream(vm, "r1", "a1")
    copy = site.log.copy()
    await asyncio.sleep(2 * RENEWAL_S)
    vm.send_signal(signal.SIGSTOP)
    site.log.restore(copy)
    await asyncio.sleep(4 * RENEWAL_S)
    answer = await send_stream(other, "r2", "a2")
    vm.send_signal(signal.SIGCONT)
    late = await send_stream(vm, "r3", "a3")
    assert (answer.status, late.status) == (200, 200)
    for engine in site.engines.values():
        tokens = [item["fence"] for item in engine.orders]
        assert tokens == sorted(tokens)


async def test_vm_without_the_store_over_a_restore(site):
    """Guards against a VM that follows a history that is gone.

    It is cut off from before the restore until the new history has grown past
    the old one.
    """
    link = StoreLink(site)
    vm = await site.start_vm("vm-1", store=await link.server.start())
    await vm.await_ready()
    copy = site.log.copy()
    site.announce("p1", state="draining", sequence=2)
    await site.await_event("vm-1", "endpoint_leaving")
    link.is_cut = True
    link.server.reset_connections()
    site.log.restore(copy)
    for version in range(4, 9):
        site.configure(
            version, alter=lambda document: document["routes"].pop()
        )
    await asyncio.sleep(RENEWAL_S)
    answer = await sites.send(vm.front, "/safe/x", "r1")
    assert (answer.status, site.engines["p2"].runs) == (200, ["r1"])
    link.is_cut = False
    await site.await_event("vm-1", "store_restored")
    await asyncio.sleep(2 * RENEWAL_S)
    assert (await sites.send(vm.front, "/safe/x", "r2")).status == 404
    assert (await sites.send(vm.front, "/once/x", "r3")).status == 200
    assert site.engines["p1"].runs == []


async def test_vm_that_starts_while_the_store_is_away(site):
    """Guards against a VM that waits for what a restore has lost."""
    copy = site.log.copy()
    site.announce("p1", sequence=2)
    site.log.failing = 503
    vm = await site.start_vm("vm-1")
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(vm.await_ready(), RENEWAL_S)
    site.log.restore(copy)
    site.log.failing = None
    await vm.await_ready()
    assert (await send_stream(vm, "r1", "a1")).status == 200
