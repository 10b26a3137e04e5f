"""Metrics of the copies of adapters."""

from __future__ import annotations

import prometheus_client

from bronzetrack.entry import meters

REQUESTED = prometheus_client.Counter(
    "bronzetrack_entry_copies_requested",
    "Load requests of this VM for further copies of an adapter.",
    registry=meters.REGISTRY,
)
PLANNED = prometheus_client.Counter(
    "bronzetrack_entry_copies_loads",
    "Loads that this VM ordered as holder of the lease, by purpose.",
    ["purpose"],
    registry=meters.REGISTRY,
)
