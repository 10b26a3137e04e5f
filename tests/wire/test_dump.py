"""Tests of the state dump."""

from __future__ import annotations

import json

import pytest

from bronzetrack.core import clock
from bronzetrack.idempotency import table
from bronzetrack.wire import dump


@pytest.fixture
def request_dump(board):
    """Return a function that dumps a section, with lists of 10 entries."""
    request = dump.DumpRequest(board, clock.Instant(0, 0), limit=10)
    return lambda name: dump.dump_section(request, name)


def test_every_section_is_json(board, request_dump):
    """Guards against a value in a section that JSON cannot encode."""
    for name in dump.list_sections(board):
        json.dumps(request_dump(name), allow_nan=False)


def test_keys_section_is_bounded(board, request_dump):
    """Guards against a dump of all keys that blocks the daemon."""
    for number in range(100):
        board.keys.value.entries[f"key-{number}"] = table.KeyEntry(
            table.KeyPhase.CLAIMED, number, 0
        )
    value = request_dump("keys")["value"]
    assert value["count"] == 100
    assert list(value["newest"])[0] == "key-99"
    assert len(value["newest"]) == 10


def test_truncated_list_states_number_of_omitted_items():
    """Guards against a truncated list that looks complete."""
    found = dump.dump_value(list(range(30)), 10)
    assert found == [*range(10), "... 20 more"]
