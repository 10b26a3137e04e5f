"""Timeline of one request, built from the log lines of all VMs."""

from __future__ import annotations

from collections.abc import Iterable
import json
from typing import Any

# Lines about the adapter or an endpoint of a request are included from this
# long before the request arrived.
CONTEXT_BEFORE_S = 5.0
HIDDEN_FIELDS = frozenset(
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
    """Return formatted log lines about a request, ordered by time.

    :param lines: log lines in JSON, which other text may precede
    :param request_id: id of the request
    :returns: the lines, empty if no line has the request id
    """
    records = [record for line in lines if (record := _parse(line))]
    own = [item for item in records if item.get("request_id") == request_id]
    if not own:
        return []
    end = max(item["time"] for item in own)
    total_s = max((item.get("total_s") or 0.0) for item in own)
    start = end - total_s - CONTEXT_BEFORE_S
    endpoints = {item.get("endpoint") for item in own} - {None, ""}
    adapters = {item.get("adapter") for item in own} - {None, ""}
    timeline = [
        item
        for item in records
        if item in own
        or (
            start <= item["time"] <= end
            and item.get("request_id") is None
            and _is_related(item, endpoints, adapters)
        )
    ]
    timeline.sort(key=lambda item: item["time"])
    return [_format(item, end) for item in timeline]


def _parse(line: str) -> dict[str, Any] | None:
    """Return the record of a log line, or None if it has none."""
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


def _is_related(
    record: dict[str, Any], endpoints: set[str], adapters: set[str]
) -> bool:
    """Return whether a record without a request id is about a request.

    Records about leases and the store of a VM are always included.
    """
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
        if name not in HIDDEN_FIELDS and value not in (None, "")
    )
    offset = record["time"] - end
    return (
        f"{offset:+8.3f} s {record.get('vm', '?'):20}"
        f" {record.get('event', ''):16} {fields}"
    )
