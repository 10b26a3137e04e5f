"""Calls of the store, with refusals, lost answers and bad bytes."""

from __future__ import annotations

import asyncio
import struct
import time

import pytest

from bronzetrack.platform import follower
from bronzetrack.platform import store as stores
from bronzetrack.transport import calls
from standins import logstore
from standins import rawhttp

pytestmark = pytest.mark.anyio
TOPIC = "keyed.t"


async def test_conditional_append_says_where_the_log_ends(store):
    """Guards against two VMs that both believe to have appended last."""
    assert await store.append("leases", [b"a"], at=0) == 0
    with pytest.raises(stores.OffsetConflictError) as caught:
        await store.append("leases", [b"b"], at=0)
    assert caught.value.end == 1


async def test_records_come_back_as_they_were_written(store):
    """Guards against records that are cut or joined."""
    records = [b"", b"x", b"y" * 70_000]
    await store.append("plain", records)
    batch = await store.read("plain", 0, 0.0)
    assert batch.records == records
    assert batch.end == 3


async def test_newest_records_come_in_pages(store):
    """Guards against keys beyond the first page."""
    for number in range(2 * logstore.PAGE_ITEMS + 1):
        await store.put(TOPIC, f"k{number}", b"v%d" % number)
    await store.put(TOPIC, "k0", None)
    found, end = await store.list_newest(TOPIC)
    assert [item.key for item in found] == [f"k{n}" for n in range(1, 7)]
    assert end == 8


async def test_lost_answer_is_no_refusal(store, log, monkeypatch):
    """Guards against an append that is taken for undone."""
    monkeypatch.setattr(stores, "CALL_TIMEOUT_S", 0.2)
    log.lost = 1
    with pytest.raises(stores.StoreUncertainError):
        await store.append("leases", [b"a"], at=0)
    assert log.topics["leases"] == [b"a"]


@pytest.mark.parametrize("status", [429, 503, 500, 507])
async def test_refusal_is_an_error_with_its_status(store, log, status):
    """Guards against a refusal that is read as an empty answer."""
    log.failing = status
    with pytest.raises(stores.StoreRefusedError, match=str(status)):
        await store.read(TOPIC, 0, 0.0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"short",
        struct.pack(">QQ", 1, 0) + struct.pack(">I", 9) + b"cut",
    ],
)
async def test_malformed_batch_is_an_error(body):
    """Guards against bytes that are no records."""
    with pytest.raises(stores.StoreRefusedError):
        stores.decode_batch(body, 0)


async def test_store_that_is_gone_is_uncertain():
    """Guards against an exception of the transport that nobody expects."""
    caller = calls.Caller(time.monotonic)
    gone = stores.Store(caller, "127.0.0.1:1")
    with pytest.raises(stores.StoreUncertainError):
        await gone.read(TOPIC, 0, 0.0)


async def test_store_that_falls_silent_is_given_up(monkeypatch):
    """Guards against a connection that is silent for good."""
    monkeypatch.setattr(stores, "CALL_TIMEOUT_S", 0.1)

    async def stay_silent(request, writer):
        await asyncio.sleep(3600)

    server = rawhttp.RawServer(stay_silent)
    silent = stores.Store(calls.Caller(time.monotonic), await server.start())
    with pytest.raises(stores.StoreUncertainError):
        await silent.list_newest(TOPIC)
    await server.stop()


async def test_follower_goes_on_after_history_was_dropped(store, log):
    """Guards against changes that were made while the history went."""
    following = follower.Follower(store, TOPIC, 0.1, time.monotonic)
    log.put(TOPIC, "a", b"1")
    change = await following.read()
    assert change.snapshot
    log.put(TOPIC, "a", None)
    log.put(TOPIC, "b", b"2")
    log.trim(TOPIC)
    change = await following.read()
    assert change.snapshot
    assert [(item.key, item.value) for item in change.records] == [("b", b"2")]


async def test_follower_says_that_the_store_was_away(store, log):
    """Guards against entries that lapsed with the store taken for gone."""
    following = follower.Follower(store, TOPIC, 0.05, time.monotonic)
    await following.read()
    log.failing = 503
    reading = asyncio.ensure_future(following.read())
    await asyncio.sleep(0.2)
    log.failing = None
    change = await asyncio.wait_for(reading, 2)
    assert change.recovered
    assert not (await following.read()).recovered


async def test_follower_reads_on_past_a_foreign_record(store, log):
    """Guards against a record without a key that ends the reading."""
    following = follower.Follower(store, TOPIC, 0.5, time.monotonic)
    await following.read()
    await store.append(TOPIC, [b"", b"\xffabc", b"\x01\xff"])
    await store.put(TOPIC, "a", b"1")
    found = []
    while not found:
        found = (await following.read()).records
    assert [item.key for item in found] == ["a"]
