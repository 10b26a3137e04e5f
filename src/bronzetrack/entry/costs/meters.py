"""Metrics of the routing by cost."""

from __future__ import annotations

import prometheus_client

from bronzetrack.entry import meters

CHOICES = prometheus_client.Counter(
    "bronzetrack_entry_cost_choices",
    "Choices by cost, by the rule that decided.",
    ["rule"],
    registry=meters.REGISTRY,
)
FIRST_EVENT_RATIO = prometheus_client.Histogram(
    "bronzetrack_entry_cost_first_event_ratio",
    "Measured time to the first event as a multiple of the estimate.",
    buckets=(0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0),
    registry=meters.REGISTRY,
)
