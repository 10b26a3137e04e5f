"""Metrics of the memory and the connections of callers."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from bronzetrack.transport import account as accounts


class AccountCollector(prometheus_registry.Collector):
    """Reads the account of callers' memory at each scrape."""

    def __init__(self, account: accounts.Account) -> None:
        self._account = account

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield the current value of each metric."""
        account = self._account
        held = prometheus_core.GaugeMetricFamily(
            "bronzetrack_entry_client_bytes",
            "Memory that callers occupy or have reserved, by holder.",
            labels=["holder"],
        )
        for holder in accounts.Holder:
            held.add_metric([holder.name.lower()], account.by_holder[holder])
        yield held
        yield prometheus_core.GaugeMetricFamily(
            "bronzetrack_entry_client_capacity_bytes",
            "Memory that callers may occupy.",
            account.capacity,
        )
        yield prometheus_core.GaugeMetricFamily(
            "bronzetrack_entry_client_connections",
            "Open connections of callers.",
            account.connections,
        )
        ended = prometheus_core.CounterMetricFamily(
            "bronzetrack_entry_clients_ended",
            "Callers that were refused or disconnected, by reason.",
            labels=["reason"],
        )
        for reason in accounts.Reason:
            ended.add_metric([reason.value], account.ended[reason])
        yield ended
