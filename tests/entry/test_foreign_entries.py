"""Tests of entry VMs before entries that another writer put into the store."""

from __future__ import annotations

import asyncio
import json
import random

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


async def start_holder(site: sites.Site) -> sites.Vm:
    """Start an engine and a VM that gives the orders."""
    await site.add_endpoint("e1", "engines")
    vm = await site.start_vm("vm-1")
    await vm.await_ready()
    await site.await_event("vm-1", "lease_taken")
    return vm


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
    await site.add_endpoint("p1", "plain")
    vm = await start_holder(site)
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
    vm = await start_holder(site)
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


ODD_VALUES = [
    None,
    True,
    0,
    -1,
    2**53,
    2**63,
    1.5,
    1e308,
    "",
    "\ud800",
    "\x00",
    "z" * 2_000,
    "127.0.0.1:1",
    "[::1]:80",
    "::1:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "::ffff:127.0.0.1:80",
    "224.0.0.1:1",
    "127.0.0.1:65535",
    "ready",
    "draining",
    "engines",
    "plain",
    [],
    {},
    [[]],
    [{}],
    [{"name": "m"}],
    [{"name": "m", "version": 0, "adapters": ["a1", "a1@0", "a2@-3"]}],
    [{"name": "m" * 3_000, "adapters": ["a" * 3_000]}],
    [{"name": "other", "adapters": [f"a{n}" for n in range(3_000)]}],
]
FIELDS = [*ENGINE, "models", "remaining_ms", "cold_left_ms", "unknown"]
ENTRIES = 400
KEYS = 40


def make_odd_entry(generator: random.Random) -> bytes:
    """Return an entry in which some fields have odd values."""
    model = {"name": "m", "version": 1, "adapters": ["a1"]}
    entry = ENGINE | {"models": [model]}
    for _ in range(generator.randint(1, 3)):
        entry[generator.choice(FIELDS)] = generator.choice(ODD_VALUES)
    data = json.dumps(entry).encode()
    if generator.random() < 0.1:
        at = generator.randrange(len(data))
        data = data[:at] + bytes([generator.randrange(256)]) + data[at + 1 :]
    return data


@pytest.mark.parametrize("seed", [1, 2])
async def test_odd_entries_in_a_row_end_no_vm(configured_site, seed):
    """Guards against a value that is accepted and fails where it is used.

    The VM gives orders and sends requests while entries of another writer
    come, change and go.
    """
    site = configured_site
    await site.add_endpoint("p1", "plain")
    vm = await start_holder(site)
    generator = random.Random(seed)
    for number in range(ENTRIES):
        key = f"other-{generator.randrange(KEYS)}"
        gone = generator.random() < 0.1
        entry = None if gone else make_odd_entry(generator)
        site.log.put("keyed.servers", key, entry)
        if number % 40 == 0:
            await sites.send(
                vm.front, "/stream/x", f"s{number}", headers=ADAPTER
            )
            await sites.send(vm.front, "/safe/x", f"p{number}", "GET")
    for number in range(KEYS):
        site.log.put("keyed.servers", f"other-{number}", None)
    await asyncio.sleep(REPORT_TIME_S)
    assert vm.process.returncode is None
    events = {item["event"] for item in site.read_events("vm-1")}
    assert not events & {"controller_failed", "request_failed"}
    plain = await sites.send(vm.front, "/once/x", "last", body=b"data")
    assert plain.status == 200
