"""Metrics of admission control."""

from __future__ import annotations

import prometheus_client

from bronzetrack.entry import meters

PROBES = prometheus_client.Counter(
    "bronzetrack_entry_admission_probes",
    "Requests that were sent to an engine that was full, by answer.",
    ["answer"],
    registry=meters.REGISTRY,
)
REFUSALS = prometheus_client.Counter(
    "bronzetrack_entry_admission_refusals",
    "Requests refused since all engines that could run them are full.",
    ["reason"],
    registry=meters.REGISTRY,
)
WAITED = prometheus_client.Histogram(
    "bronzetrack_entry_admission_waited_seconds",
    "Time that requests waited for full engines.",
    buckets=meters.SECONDS,
    registry=meters.REGISTRY,
)
MEMORY_WAITS = prometheus_client.Counter(
    "bronzetrack_entry_admission_memory_waits",
    "Looks of a request at engines of which none has memory for it.",
    registry=meters.REGISTRY,
)
LATE_SENDS = prometheus_client.Counter(
    "bronzetrack_entry_admission_late_sends",
    "Sends of requests that could no longer be answered on time.",
    registry=meters.REGISTRY,
)
