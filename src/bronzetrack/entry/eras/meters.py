"""Metrics of the eras of the store."""

from __future__ import annotations

import prometheus_client

from bronzetrack.entry import meters

ERA = prometheus_client.Gauge(
    "bronzetrack_entry_store_era",
    "Era of the store, which rises when it is restored from an older copy.",
    registry=meters.REGISTRY,
)
RESTORES = prometheus_client.Counter(
    "bronzetrack_entry_store_restores",
    "Restores of the store from an older copy that this VM saw.",
    registry=meters.REGISTRY,
)
REWRITTEN = prometheus_client.Counter(
    "bronzetrack_entry_store_rewritten",
    "Records that this VM wrote again after a restore, by topic.",
    ["topic"],
    registry=meters.REGISTRY,
)
