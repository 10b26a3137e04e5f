"""Tests of publishing through a log that loses responses."""

from __future__ import annotations

import anyio
import attrs
import pytest

from bronzetrack.client import publisher
from bronzetrack.configuration import records
from bronzetrack.core import failures
from bronzetrack.logservice import logservice

INVENTORY = {
    "members": ["trust"],
    "base_models": ["base"],
    "adapters": {
        name: {
            "owner": "trust",
            "base_model": "base",
            "versions": ["1"],
            "current": "1",
        }
        for name in ("a", "b", "c")
    },
}


@attrs.define
class MemoryLog:
    """A stub of the log that keeps its records in memory.

    :param append_results: results of the next appends: `taken`, `refused`,
        `lost` (stored, but reported as uncertain) or `dropped` (not stored,
        and reported as uncertain)
    :param competing_record: a record of another operator that is stored
        before the next append
    """

    items: list[object] = attrs.field(factory=list)
    append_results: list[str] = attrs.field(factory=list)
    competing_record: object = None

    async def append(self, stream, items):
        append_result = (
            self.append_results.pop(0) if self.append_results else "taken"
        )
        if append_result == "refused":
            return failures.Failure(failures.Reason.LOG_UNAVAILABLE)
        if self.competing_record is not None:
            self.items.append(self.competing_record)
            self.competing_record = None
        if append_result != "dropped":
            self.items.extend(items)
        if append_result != "taken":
            return failures.Failure(failures.Reason.APPEND_UNCERTAIN)
        return len(self.items) - len(items)

    async def read(self, stream, offset, wait_ms=0, limit=1_000):
        found = list(enumerate(self.items))[offset : offset + limit]
        return logservice.LogBatch(0, len(self.items), tuple(found))


@pytest.fixture
def log() -> MemoryLog:
    """Return a log in which the sample inventory is in force at offset 0."""
    log = MemoryLog()
    publish(log, INVENTORY)
    return log


def publish(log, document, base=None):
    return anyio.run(
        publisher.publish, log, "inventory", document, "operator", base
    )


def change_adapters(**adapters):
    return {**INVENTORY, "adapters": {**INVENTORY["adapters"], **adapters}}


def test_small_change_is_published_as_delta(log):
    """Guards against publishing a megabyte for one changed adapter."""
    added = {**INVENTORY["adapters"]["a"], "versions": ["1", "2"]}
    document = change_adapters(a=added)
    del document["adapters"]["b"]
    result = publish(log, document)
    assert result.verdict.accepted
    assert log.items[-1].delta
    assert log.items[-1].document == {"adapters": {"a": added, "b": None}}
    assert sorted(result.configuration.inventory.adapters) == ["a", "c"]


@pytest.mark.parametrize(
    "append_results",
    [["lost"], ["dropped"], ["dropped", "lost"], ["lost", "refused"]],
)
def test_lost_response_is_resolved(log, append_results):
    """Guards against a wrong result or a duplicate after a lost response."""
    log.append_results = list(append_results)
    result = publish(log, change_adapters(d=INVENTORY["adapters"]["a"]))
    assert result.verdict.accepted
    assert "d" in result.configuration.inventory.adapters


def test_uncertain_append_is_reported(log):
    """Guards against "refused" for a record that may still be appended."""
    log.append_results = ["dropped", "refused", "refused"]
    result = publish(log, change_adapters(d=INVENTORY["adapters"]["a"]))
    assert result.reason is failures.Reason.APPEND_UNCERTAIN


@pytest.mark.parametrize(
    "append_results", [["taken"], ["lost"], ["dropped", "lost"]]
)
def test_conflicting_publication_is_reported(log, append_results):
    """Guards against reporting success to both of two operators."""
    log.competing_record = records.PublicationRecord(
        "inventory", 0, {"members": ["trust", "papyros"]}, delta=True
    )
    log.append_results = list(append_results)
    result = publish(log, change_adapters(d=INVENTORY["adapters"]["a"]))
    assert not result.verdict.accepted
    assert "configuration_conflict" in result.verdict.reason


def test_stale_base_is_refused_at_once(log):
    """Guards against appending a record that cannot be accepted."""
    publish(log, change_adapters(d=INVENTORY["adapters"]["a"]))
    result = publish(log, INVENTORY, base=0)
    assert result.reason is failures.Reason.CONFIGURATION_CONFLICT
    assert len(log.items) == 2
