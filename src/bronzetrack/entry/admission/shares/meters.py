"""Metrics of the admitted share of full services."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from bronzetrack.entry import meters

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

REFUSED = prometheus_client.Counter(
    "bronzetrack_entry_share_refused",
    "Requests refused as their service is overloaded, by service and rule.",
    ["service", "rule"],
    registry=meters.REGISTRY,
)


class ShareCollector(prometheus_registry.Collector):
    """Reads the admitted share of each service at each scrape."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._read_clock = read_clock

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield the metrics, each with one sample per service."""
        now = self._read_clock()
        share = prometheus_core.GaugeMetricFamily(
            "bronzetrack_entry_share_admitted",
            "Share of the requests that were admitted lately, 1 in calm.",
            labels=["service"],
        )
        rate = prometheus_core.GaugeMetricFamily(
            "bronzetrack_entry_share_rate",
            "Requests per second that a limit admits, 0 without one.",
            labels=["service"],
        )
        services = self._board.admission_shares.value.services
        for name, item in services.items():
            is_limited = item.limit is not None
            share.add_metric(
                [name], item.demand.measure_share(now) if is_limited else 1.0
            )
            rate.add_metric(
                [name], item.rate.rate_per_s if is_limited else 0.0
            )
        yield share
        yield rate
