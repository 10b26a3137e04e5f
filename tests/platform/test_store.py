"""Tests of store calls with rejections, lost responses and malformed bytes."""

from __future__ import annotations

import asyncio
import json
import struct
import time

import attrs
import pytest

from bronzetrack.platform import follower
from bronzetrack.platform import store as stores
from bronzetrack.transport import calls
from standins import logstore
from standins import rawhttp

pytestmark = pytest.mark.anyio
TOPIC = "keyed.t"


async def test_conflicting_append_reports_the_end_of_the_log(store):
    """Guards against two VMs that both succeed in appending at one offset."""
    assert await store.append("leases", [b"a"], expected_end=0) == 0
    with pytest.raises(stores.OffsetConflictError) as caught:
        await store.append("leases", [b"b"], expected_end=0)
    assert caught.value.end == 1


async def test_records_are_read_as_they_were_written(store):
    """Guards against records that are truncated or merged."""
    records = [b"", b"x", b"y" * 70_000]
    await store.append("plain", records)
    batch = await store.read("plain", 0, 0.0)
    assert batch.records == records
    assert batch.end == 3


async def test_newest_records_are_read_from_all_pages(store):
    """Guards against keys missed because they are beyond the first page."""
    for number in range(2 * logstore.PAGE_ITEMS + 1):
        await store.put(TOPIC, f"k{number}", b"v%d" % number)
    await store.put(TOPIC, "k0", None)
    records, end = await store.read_newest(TOPIC)
    assert [item.key for item in records] == [f"k{n}" for n in range(1, 7)]
    assert end == 8


async def test_key_that_is_no_unicode_does_not_end_the_reading():
    """Guards against a key of another writer that ends its reader.

    The key is the last of a page and is part of the call for the next page.
    """
    pages = [
        {
            "items": [{"key": "\ud800", "value": "dg==", "offset": 0}],
            "has_more": True,
            "end": 2,
        },
        {"items": [{"key": "k", "value": "dg==", "offset": 1}], "end": 2},
    ]

    async def handle(request, writer):
        page = json.dumps(pages.pop(0)).encode()
        writer.write(rawhttp.make_answer(200, page))

    server = rawhttp.RawServer(handle)
    store = stores.Store(
        calls.HttpClient(time.monotonic), await server.start()
    )
    records, _ = await store.read_newest(TOPIC)
    await server.stop()
    assert [item.key for item in records] == ["\ud800", "k"]


async def test_lost_response_leaves_the_outcome_uncertain(
    store, log, monkeypatch
):
    """Guards against an executed append that is treated as rejected.

    The store executes the append, but its response is lost.
    """
    monkeypatch.setattr(stores, "CALL_TIMEOUT_S", 0.2)
    log.lost = 1
    with pytest.raises(stores.StoreUncertainError):
        await store.append("leases", [b"a"], expected_end=0)
    assert log.topics["leases"] == [b"a"]


@pytest.mark.parametrize("status", [429, 503, 500, 507])
async def test_rejected_call_raises_an_error_with_its_status(
    store, log, status
):
    """Guards against a rejection that is treated as an empty response."""
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
async def test_malformed_batch_raises_an_error(body):
    """Guards against malformed bytes that are decoded as records."""
    with pytest.raises(stores.StoreRefusedError):
        stores.decode_batch(body, 0)


async def test_unreachable_store_raises_an_uncertain_error():
    """Guards against a transport exception that callers do not handle."""
    http_client = calls.HttpClient(time.monotonic)
    unreachable = stores.Store(http_client, "127.0.0.1:1")
    with pytest.raises(stores.StoreUncertainError):
        await unreachable.read(TOPIC, 0, 0.0)


async def test_call_to_an_unresponsive_store_times_out(monkeypatch):
    """Guards against a call that waits forever for a response."""
    monkeypatch.setattr(stores, "CALL_TIMEOUT_S", 0.1)

    async def never_respond(request, writer):
        await asyncio.sleep(3600)

    server = rawhttp.RawServer(never_respond)
    unresponsive = stores.Store(
        calls.HttpClient(time.monotonic), await server.start()
    )
    with pytest.raises(stores.StoreUncertainError):
        await unresponsive.read_newest(TOPIC)
    await server.stop()


async def test_follower_continues_after_records_expired(store, log):
    """Guards against missed changes whose records have expired."""
    topic_follower = follower.Follower(store, TOPIC, 0.1, time.monotonic)
    log.put(TOPIC, "a", b"1")
    change = await topic_follower.read()
    assert change.snapshot
    log.put(TOPIC, "a", None)
    log.put(TOPIC, "b", b"2")
    log.trim(TOPIC)
    change = await topic_follower.read()
    assert change.snapshot
    assert [(item.key, item.value) for item in change.records] == [("b", b"2")]


async def test_follower_reports_recovery_of_the_store(store, log):
    """Guards against an outage of the store that is not reported.

    Entries that expire during an outage must not be taken for removed ones.
    """
    topic_follower = follower.Follower(store, TOPIC, 0.05, time.monotonic)
    await topic_follower.read()
    log.failing = 503
    reading = asyncio.ensure_future(topic_follower.read())
    await asyncio.sleep(0.2)
    log.failing = None
    change = await asyncio.wait_for(reading, 2)
    assert change.recovered
    assert not (await topic_follower.read()).recovered


@attrs.define
class SlowStore:
    """Store whose answers take a while on their way.

    :param now: the present time, which each call moves on
    :param way_s: time that an answer takes
    """

    records: list[bytes]
    now: float = 1_000.0
    way_s: float = 0.7

    async def read_newest(self, topic):
        """Return no key."""
        self.now += self.way_s
        return [], 5

    async def read(self, topic, first, max_wait_s):
        """Return the records, or none after the longest wait."""
        self.now += self.way_s + (0.0 if self.records else max_wait_s)
        return stores.Batch(self.records, first, first + len(self.records))


@pytest.mark.parametrize(("records", "waited_s"), [([], 0.4), ([b"\1a1"], 0)])
async def test_age_of_a_view_omits_the_way_of_the_answer(records, waited_s):
    """Guards against trust in a view that is older than it looks."""
    slow = SlowStore(records)
    topic_follower = follower.Follower(slow, TOPIC, 0.4, lambda: slow.now)
    assert (await topic_follower.read()).as_of == 1_000.0
    sent_at = slow.now
    change = await topic_follower.read()
    assert change.as_of == pytest.approx(sent_at + waited_s)


async def test_follower_skips_records_without_a_key(store, log):
    """Guards against a record without a valid key that stops the follower."""
    topic_follower = follower.Follower(store, TOPIC, 0.5, time.monotonic)
    await topic_follower.read()
    await store.append(TOPIC, [b"", b"\xffabc", b"\x01\xff"])
    await store.put(TOPIC, "a", b"1")
    records = []
    while not records:
        records = (await topic_follower.read()).records
    assert [item.key for item in records] == ["a"]
