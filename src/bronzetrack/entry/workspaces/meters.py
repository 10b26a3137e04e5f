"""Metrics of workspaces."""

from __future__ import annotations

import prometheus_client

from bronzetrack.entry import meters

REFUSED_KEYS = prometheus_client.Counter(
    "bronzetrack_entry_refused_keys",
    "Requests that were refused for their key, by cause.",
    ["cause"],
    registry=meters.REGISTRY,
)
