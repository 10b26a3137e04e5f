"""Counters, gauges and latency histograms of an entry VM."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from bronzetrack.entry.peering import peers
from bronzetrack.entry.peering import views

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzetrack.entry import board as boards

# Separate from the default registry, because the other daemon of the package
# registers metrics with the same names.
REGISTRY = prometheus_client.CollectorRegistry()
SECONDS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 10.0)

REQUESTS = prometheus_client.Counter(
    "bronzetrack_entry_requests",
    "Requests that ended, by outcome of the last send and reason.",
    ["outcome", "reason"],
    registry=REGISTRY,
)
REJECTIONS = prometheus_client.Counter(
    "bronzetrack_entry_rejections",
    "Sends that an endpoint rejected without a run, by status.",
    ["status"],
    registry=REGISTRY,
)
RETRIES = prometheus_client.Counter(
    "bronzetrack_entry_repeats",
    "Sends beyond the first, by whether the retry budget allowed them.",
    ["allowed"],
    registry=REGISTRY,
)
SUSPECTED = prometheus_client.Counter(
    "bronzetrack_entry_suspected",
    "Requests whose copies this VM refuses since they may crash endpoints.",
    registry=REGISTRY,
)
ORDERS = prometheus_client.Counter(
    "bronzetrack_entry_orders",
    "Orders to engines, by operation and answer.",
    ["operation", "verdict"],
    registry=REGISTRY,
)
STORE_CALLS = prometheus_client.Counter(
    "bronzetrack_entry_store_calls",
    "Calls of the store, by call and status, 0 without an answer.",
    ["call", "status"],
    registry=REGISTRY,
)
JOINING = prometheus_client.Gauge(
    "bronzetrack_entry_joining",
    "Whether VMs may act that this VM does not know, so that it lends none.",
    registry=REGISTRY,
)
PAUSES = prometheus_client.Counter(
    "bronzetrack_entry_pauses",
    "Times in which the event loop stood still, by cause.",
    ["cause"],
    registry=REGISTRY,
)
ENDPOINT_NEWS = prometheus_client.Counter(
    "bronzetrack_entry_endpoint_news",
    "Changes of endpoints, by event and by how this VM learnt of them.",
    ["event", "source"],
    registry=REGISTRY,
)
NEWS_DROPPED = prometheus_client.Counter(
    "bronzetrack_entry_news_dropped",
    "Messages that other VMs were not sent, as the link is too narrow.",
    registry=REGISTRY,
)
WAITED = prometheus_client.Histogram(
    "bronzetrack_entry_waited_seconds",
    "Time from the arrival of a request to its last send.",
    buckets=SECONDS,
    registry=REGISTRY,
)
FIRST_BYTE = prometheus_client.Histogram(
    "bronzetrack_entry_first_byte_seconds",
    "Time from the arrival of a request to the first byte of the answer.",
    buckets=SECONDS,
    registry=REGISTRY,
)
TOTAL = prometheus_client.Histogram(
    "bronzetrack_entry_total_seconds",
    "Time from the arrival of a request to its end.",
    buckets=SECONDS,
    registry=REGISTRY,
)


class BoardCollector(prometheus_registry.Collector):
    """Computes gauges from the blackboard at each scrape."""

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._read_clock = read_clock

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield the current value of each gauge."""
        board = self._board
        now = self._read_clock()
        configuration = board.rules.value.configuration
        gauges = {
            "ready": (
                "Whether this VM takes requests.",
                float(board.lifecycle.value.ready),
            ),
            "lease_held": (
                "Whether this VM may give orders.",
                float(board.lease.value.is_held(now)),
            ),
            "peers_alive": (
                "Other VMs that were heard lately.",
                len(board.membership.value.peer_table.list_alive(now)),
            ),
            "members_age_seconds": (
                "Time since a hub told which VMs it hears.",
                now - board.membership.value.members_heard_at,
            ),
            "directory_addresses": (
                "VMs that callers are told of.",
                len(
                    peers.list_caller_addresses(
                        board.membership.value.peer_table,
                        now,
                        board.settings.front,
                        board.lifecycle.value.ready,
                    )
                ),
            ),
            "endpoints_usable": (
                "Endpoints that new work may be sent to.",
                sum(
                    item.is_usable(now)
                    for item in board.endpoints.value.by_identity.values()
                ),
            ),
            "requests_waiting": (
                "Requests that wait for an engine.",
                sum(
                    item.waiting
                    for item in board.holder_notifiers.by_model_key.values()
                ),
            ),
            "requests_active": (
                "Requests in progress at endpoints.",
                sum(
                    item.active
                    for item in board.traffic.value.by_identity.values()
                ),
            ),
            "store_age_seconds": (
                "Time since the store was last read.",
                now - board.store_read_at.value,
            ),
            "view_age_seconds": (
                "Age of the knowledge of endpoints, from own reads or hubs.",
                views.measure_view(board, now).age_s,
            ),
            "configuration_version": (
                "Version of the configuration in force, 0 for none.",
                configuration.version if configuration else 0,
            ),
        }
        for name, (text, value) in gauges.items():
            yield prometheus_core.GaugeMetricFamily(
                f"bronzetrack_entry_{name}", text, value
            )
