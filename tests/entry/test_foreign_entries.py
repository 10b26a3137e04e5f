"""Tests of entry VMs before entries that another writer put into the store."""

from __future__ import annotations

import asyncio
import json

from entry import sites
import pytest

pytestmark = pytest.mark.anyio
ADAPTER = {"X-Model": "m/a1"}
ENGINE = {
    "service": "engines",
    "address": "127.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
}
# Bytes that UTF-8 does not allow: the encoding of a lone surrogate.
SURROGATE = b"\xed\xa0\x80"
SURROGATE_ESCAPE = b"\\ud800"
# The holder of the lease reads an entry and asks the engine for a report
# within this time.
REPORT_TIME_S = 2.0


def encode_entry(**changes: object) -> bytes:
    """Return the bytes of an engine's entry."""
    return json.dumps(ENGINE | changes).encode()


UNREADABLE = encode_entry(address="fe80::1%ZONE:8080")


@pytest.mark.parametrize(
    "entry",
    [
        UNREADABLE.replace(b"ZONE", SURROGATE),
        UNREADABLE.replace(b"ZONE", SURROGATE_ESCAPE),
        UNREADABLE.replace(b"ZONE", b"z" * 70),
        UNREADABLE.replace(b"ZONE", b"a..b"),
        UNREADABLE.replace(b"ZONE", b"\\u0000"),
    ],
    ids=["bytes", "escape", "long", "empty label", "null"],
)
async def test_entry_of_another_writer_does_not_end_the_lease_holder(
    configured_site, entry
):
    """Guards against an address that ends the holder in each of its terms."""
    site = configured_site
    await site.add_endpoint("e1", "engines")
    await site.add_endpoint("p1", "plain")
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    await site.await_event("vm-1", "lease_taken")
    site.log.put("keyed.servers", "other", entry)
    await asyncio.sleep(REPORT_TIME_S)
    assert vm.process.returncode is None
    await site.await_event("vm-1", "entry_rejected")
    loaded = await sites.send(vm.front, "/stream/x", "r1", headers=ADAPTER)
    assert loaded.status == 200
    plain = await sites.send(vm.front, "/once/x", "r2", body=b"data")
    assert plain.status == 200


@pytest.mark.parametrize("name", ["models", "adapters"])
async def test_name_that_no_message_can_hold_does_not_end_the_lease_holder(
    configured_site, name
):
    """Guards against a name that ends the holder when it is announced.

    The holder tells the other VMs what an engine no longer holds.
    """
    site = configured_site
    await site.add_endpoint("e1", "engines")
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    await site.await_event("vm-1", "lease_taken")
    models = {
        "models": [{"name": "\ud800", "version": 1, "adapters": ["a1"]}],
        "adapters": [{"name": "m", "version": 1, "adapters": ["\ud800@1"]}],
    }
    site.announce("e1", sequence=2, models=models[name])
    answer = await sites.send(vm.front, "/stream/x", "r1", headers=ADAPTER)
    await asyncio.sleep(REPORT_TIME_S)
    assert vm.process.returncode is None
    assert answer.status == 200
    await site.await_event("vm-1", "entry_rejected")
