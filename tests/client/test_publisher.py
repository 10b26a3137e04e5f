"""Tests of publishing through a log that loses answers."""

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
    """A log in memory.

    :param fates: what happens to the next appends
    :param racer: a record of another operator that lands before the next
    """

    items: list[object] = attrs.field(factory=list)
    fates: list[str] = attrs.field(factory=list)
    racer: object = None

    async def append(self, stream, items):
        fate = self.fates.pop(0) if self.fates else "taken"
        if fate == "refused":
            return failures.Failure(failures.Reason.LOG_UNAVAILABLE)
        if self.racer is not None:
            self.items.append(self.racer)
            self.racer = None
        if fate != "dropped":
            self.items.extend(items)
        if fate != "taken":
            return failures.Failure(failures.Reason.APPEND_UNCERTAIN)
        return len(self.items) - len(items)

    async def read(self, stream, offset, wait_ms=0, limit=1_000):
        found = list(enumerate(self.items))[offset : offset + limit]
        return logservice.LogBatch(0, len(self.items), tuple(found))


@pytest.fixture
def log() -> MemoryLog:
    """A log in which the sample inventory is in force at offset 0."""
    log = MemoryLog()
    publish(log, INVENTORY)
    return log


def publish(log, document, base=None):
    return anyio.run(
        publisher.publish, log, "inventory", document, "operator", base
    )


def change(**adapters):
    return {**INVENTORY, "adapters": {**INVENTORY["adapters"], **adapters}}


def test_small_change_is_published_as_delta(log):
    """Guards against a megabyte in the log for one changed adapter."""
    added = {**INVENTORY["adapters"]["a"], "versions": ["1", "2"]}
    document = change(a=added)
    del document["adapters"]["b"]
    result = publish(log, document)
    assert result.verdict.accepted
    assert log.items[-1].delta
    assert log.items[-1].document == {"adapters": {"a": added, "b": None}}
    assert sorted(result.configuration.inventory.adapters) == ["a", "c"]


@pytest.mark.parametrize(
    "fates", [["lost"], ["dropped"], ["dropped", "lost"], ["lost", "refused"]]
)
def test_lost_answer_is_resolved(log, fates):
    """Guards against a publication that is reported wrongly or doubled."""
    log.fates = list(fates)
    result = publish(log, change(d=INVENTORY["adapters"]["a"]))
    assert result.verdict.accepted
    assert "d" in result.configuration.inventory.adapters


def test_uncertain_append_is_said_to_be(log):
    """Guards against "refused" for a record that may land later."""
    log.fates = ["dropped", "refused", "refused"]
    result = publish(log, change(d=INVENTORY["adapters"]["a"]))
    assert result.reason is failures.Reason.APPEND_UNCERTAIN


@pytest.mark.parametrize("fates", [["taken"], ["lost"], ["dropped", "lost"]])
def test_loser_of_a_race_is_told(log, fates):
    """Guards against two operators who both believe that they won."""
    log.racer = records.PublicationRecord(
        "inventory", 0, {"members": ["trust", "papyros"]}, delta=True
    )
    log.fates = list(fates)
    result = publish(log, change(d=INVENTORY["adapters"]["a"]))
    assert not result.verdict.accepted
    assert "configuration_conflict" in result.verdict.reason


def test_stale_base_is_refused_at_once(log):
    """Guards against an append that cannot be accepted."""
    publish(log, change(d=INVENTORY["adapters"]["a"]))
    result = publish(log, INVENTORY, base=0)
    assert result.reason is failures.Reason.CONFIGURATION_CONFLICT
    assert len(log.items) == 2
