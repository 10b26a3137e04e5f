"""Metrics of quotas."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

# Metrics by the name of the count in `accounts.Counts`. What requests give
# back lowers the units spent, which are therefore a gauge.
SPENT = ("spent_units", "Units of admitted requests, less those given back.")
COUNTERS = {
    "refused": "Requests over the quota of their workspace.",
    "unknown": "Requests refused since no VM knew what was left of the quota.",
    "asked": "Requests for credit to the owner of the workspace.",
    "missed": "Requests for credit that the owner did not answer.",
    "unsure": "Requests for credit that a new owner could not decide on.",
}


class QuotaCollector(prometheus_registry.Collector):
    """Reads the counts of each workspace at each scrape."""

    def __init__(self, board: boards.Blackboard) -> None:
        self._board = board

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield the metrics, each with one sample per workspace."""
        accounts = self._board.quotas.value.accounts
        name, text = SPENT
        spent = prometheus_core.GaugeMetricFamily(
            f"bronzetrack_entry_quota_{name}", text, labels=["workspace"]
        )
        for workspace, account in accounts.items():
            spent.add_metric([workspace], account.counts.spent)
        yield spent
        for name, text in COUNTERS.items():
            family = prometheus_core.CounterMetricFamily(
                f"bronzetrack_entry_quota_{name}", text, labels=["workspace"]
            )
            for workspace, account in accounts.items():
                family.add_metric([workspace], getattr(account.counts, name))
            yield family
