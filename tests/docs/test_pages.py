"""Tests that the pages name everything that the code registers."""

from __future__ import annotations

import pathlib
import re

import attrs
import prometheus_client
import pytest

from bronzetrack.core import failures
from bronzetrack.core import messages
from bronzetrack.core import records
from bronzetrack.daemon import exits
from bronzetrack.daemon import process
from bronzetrack.http import callers
from bronzetrack.http import operators
from bronzetrack.http import statuses
from bronzetrack.metrics import gauges
from bronzetrack.wire import dump

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.fixture(scope="module")
def protocols() -> str:
    process.import_controllers()
    return (DOCS / "protocols.md").read_text(encoding="utf-8")


@pytest.fixture(scope="module")
def operations() -> str:
    return (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("registry", [messages.MESSAGES, records.RECORDS])
def test_each_message_and_record_has_a_row(protocols, registry):
    """Guards against a message that no page describes."""
    for name, cls in registry.items():
        words = [f"`{field.name}`" for field in attrs.fields(cls)]
        words.append(f"`{cls.__module__.removeprefix('bronzetrack.')}`")
        rows = re.findall(rf"^\| `{name}` \|.*$", protocols, re.MULTILINE)
        assert any(
            all(word in row for word in words) for row in rows
        ), f"run scripts/update_protocols.py for {name}: {words}"


def test_each_reason_has_its_status(protocols):
    """Guards against an error that a caller cannot look up."""
    for reason in failures.Reason:
        status = statuses.get_status(failures.Failure(reason))
        row = rf"^\| `{reason.value}` \| ({status}|-) \| \w"
        assert re.search(row, protocols, re.MULTILINE), reason


def test_each_call_has_an_example(protocols, configured_routes):
    """Guards against a public call without a description."""
    for path in configured_routes:
        fixed = path.partition("{")[0].rstrip("/")
        assert re.search(rf"curl .*(\n +.*)*?{fixed}", protocols), path


@pytest.fixture
def configured_routes(board) -> list[str]:
    """Paths of both HTTP listeners."""
    routes = [
        *callers.CallersApplication(board, None).list_routes(),
        *operators.OperatorsApplication(board, None).build().routes,
    ]
    return [route.path for route in routes if route.path != "/v1/completions"]


def test_operations_page_names_what_operators_see(operations, board):
    """Guards against a metric, section or exit code without advice."""
    counted = [
        metric.name + ("_total" if metric.type == "counter" else "")
        for metric in prometheus_client.REGISTRY.collect()
        if metric.name.startswith("bronzetrack_")
    ]
    names = [*gauges.GAUGES, *counted]
    missing = [name for name in names if f"`{name}" not in operations]
    sections = dump.list_sections(board)
    missing += [name for name in sections if f"| `{name}` |" not in operations]
    codes = [f"| {code.value} |" for code in exits.ExitCode]
    missing += [code for code in codes if code not in operations]
    assert missing == [], "add rows to docs/OPERATIONS.md"
