"""Tests that the documentation covers everything that the code registers."""

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
    """Guards against messages and records without an up-to-date row."""
    for name, cls in registry.items():
        cells = [f"`{field.name}`" for field in attrs.fields(cls)]
        cells.append(f"`{cls.__module__.removeprefix('bronzetrack.')}`")
        rows = re.findall(rf"^\| `{name}` \|.*$", protocols, re.MULTILINE)
        assert any(
            all(cell in row for cell in cells) for row in rows
        ), f"run scripts/update_protocols.py for {name}: {cells}"


def test_each_reason_has_its_status(protocols):
    """Guards against failure reasons that the page does not document."""
    for reason in failures.Reason:
        status = statuses.get_status(failures.Failure(reason))
        row = rf"^\| `{reason.value}` \| ({status}|-) \| \w"
        assert re.search(row, protocols, re.MULTILINE), reason


def test_each_path_has_an_example(protocols, configured_routes):
    """Guards against public paths without an example of a call."""
    for path in configured_routes:
        fixed = path.partition("{")[0].rstrip("/")
        assert re.search(rf"curl .*(\n +.*)*?{fixed}", protocols), path


@pytest.fixture
def configured_routes(board) -> list[str]:
    """Return the paths of both HTTP listeners."""
    routes = [
        *callers.CallersApplication(board, None).list_routes(),
        *operators.OperatorsApplication(board, None).build().routes,
    ]
    return [route.path for route in routes if route.path != "/v1/completions"]


def test_operations_page_lists_metrics_sections_and_exit_codes(
    operations, board
):
    """Guards against undocumented metrics, state sections and exit codes."""
    metric_names = [
        metric.name + ("_total" if metric.type == "counter" else "")
        for metric in prometheus_client.REGISTRY.collect()
        if metric.name.startswith("bronzetrack_")
    ]
    names = [*gauges.GAUGES, *metric_names]
    missing = [name for name in names if f"`{name}" not in operations]
    sections = dump.list_sections(board)
    missing += [name for name in sections if f"| `{name}` |" not in operations]
    codes = [f"| {code.value} |" for code in exits.ExitCode]
    missing += [code for code in codes if code not in operations]
    assert missing == [], "add rows to docs/OPERATIONS.md"
