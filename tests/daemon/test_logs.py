"""Tests of the JSON log lines."""

from __future__ import annotations

import ast
from collections.abc import Iterator
import json
import logging
import pathlib

import pytest

import bronzetrack
from bronzetrack.daemon import logs

SOURCE = pathlib.Path(bronzetrack.__file__).parent
COMMON = {"vm", "availability_zone", "request_id", "attempt_id", "event"}


@pytest.fixture
def format_record():
    """Return a function that formats a log call and parses its line."""
    fields = {"vm": "vm-1", "availability_zone": "zone-a"}
    formatter = logs.JsonFormatter(fields)

    def format_extra(message: str, **extra) -> dict:
        record = logging.makeLogRecord({"msg": message, **extra})
        line = formatter.format(record)
        assert "\n" not in line
        return json.loads(line)

    return format_extra


def test_each_line_has_the_common_fields(format_record):
    """Guards against lines that lack the fields used for searching."""
    assert COMMON <= format_record("of a library").keys()
    line = format_record("two\nlines", event="request_ended", request_id="r")
    assert line["event"] == "request_ended"
    assert line["request_id"] == "r"
    assert line["vm"] == "vm-1"


def list_log_calls() -> Iterator[tuple[str, ast.Call]]:
    """Iterate over the logging calls of the source with their places."""
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "LOG"
            ):
                yield f"{path.name}:{node.lineno}", node


def test_each_log_call_names_its_event():
    """Guards against a line that is identified only by its wording."""
    calls = list(list_log_calls())
    assert len(calls) >= 10
    for place, call in calls:
        extras = [item for item in call.keywords if item.arg == "extra"]
        assert extras, place
        assert isinstance(extras[0].value, ast.Dict), place
        keys = {key.value for key in extras[0].value.keys}
        assert "event" in keys, place
        assert keys.isdisjoint({"vm", "availability_zone"}), place
