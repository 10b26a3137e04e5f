"""The story of one request, from the log lines of all VMs."""

from __future__ import annotations

from collections.abc import Iterable
import json
from typing import Any

# Lines about the adapter or an endpoint count from this long before the
# request arrived.
BEFORE_S = 5.0
HIDDEN = frozenset(
    {
        "time",
        "level",
        "logger",
        "message",
        "event",
        "vm",
        "availability_zone",
        "request_id",
        "attempt_id",
    }
)


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Return the lines that tell what became of a request, in order.

    :param lines: JSON lines, each maybe after other text
    """
    records = [record for line in lines if (record := _parse(line))]
    own = [item for item in records if item.get("request_id") == request_id]
    if not own:
        return []
    end = max(item["time"] for item in own)
    total_s = max((item.get("total_s") or 0.0) for item in own)
    start = end - total_s - BEFORE_S
    endpoints = {item.get("endpoint") for item in own} - {None, ""}
    adapters = {item.get("adapter") for item in own} - {None, ""}
    story = [
        item
        for item in records
        if item in own
        or (
            start <= item["time"] <= end
            and item.get("request_id") is None
            and _concerns(item, endpoints, adapters)
        )
    ]
    story.sort(key=lambda item: item["time"])
    return [_format(item, end) for item in story]


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(record, dict) or "time" not in record:
        return None
    return record


def _concerns(
    record: dict[str, Any], endpoints: set[str], adapters: set[str]
) -> bool:
    adapter = record.get("adapter")
    if adapter:
        return adapter in adapters
    return record.get("endpoint") in endpoints or record.get("event") in (
        "lease_taken",
        "lease_lapsed",
        "lease_released",
        "store_lost",
        "store_regained",
    )


def _format(record: dict[str, Any], end: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in HIDDEN and value not in (None, "")
    )
    offset = record["time"] - end
    return (
        f"{offset:+8.3f} s {record.get('vm', '?'):20}"
        f" {record.get('event', ''):16} {fields}"
    )
