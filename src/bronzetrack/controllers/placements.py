"""Adapter placements and quotas, computed from demand and heartbeats."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from bronzetrack.configuration import inventory as inventories
from bronzetrack.dispatch import placement
from bronzetrack.limits import quotas as quota_views
from bronzetrack.membership import messages
from bronzetrack.membership import summaries

if TYPE_CHECKING:
    from bronzetrack import board as boards

REFRESH_INTERVAL_MS = 1_000


class Placements:
    """Placement of adapters by owned endpoint, refreshed at an interval.

    The demand is sampled from the recent and open requests that arrived at
    this VM.
    """

    def __init__(self, board: boards.Blackboard) -> None:
        self._board = board
        self._refreshed_ms: int | None = None
        self._placements: dict[str, placement.Placement] = {}
        self.quotas = quota_views.QuotaView()

    def get(self, name: str) -> placement.Placement:
        """Return the placement of an owned endpoint."""
        return self._placements.get(name, placement.Placement())

    def refresh(self, now_ms: int) -> None:
        """Recompute placements and quotas if the interval has passed."""
        if self._refreshed_ms is not None:
            if now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS:
                return
        self._refreshed_ms = now_ms
        table = self._board.requests.value
        demand = placement.count_demand(
            itertools.chain(
                (entry.adapter for entry in table.recent),
                (entry.adapter for entry in table.open.values()),
            )
        )
        endpoint_summaries = self._list_summaries()
        self.quotas = self._compute_quotas()
        self._placements = {
            name: self._compute_placement(name, demand, endpoint_summaries)
            for name in self._board.dispatch.value.endpoints
        }

    def _compute_placement(
        self,
        name: str,
        demand: dict[str, float],
        endpoint_summaries: dict[str, messages.EndpointSummary],
    ) -> placement.Placement:
        inventory = self._board.configuration.value.configuration.inventory
        endpoint = inventory.endpoints.get(name)
        if endpoint is None:
            return placement.Placement()
        model = endpoint.base_model
        others = {
            other: summary
            for other, summary in endpoint_summaries.items()
            if other in inventory.endpoints
            and inventory.endpoints[other].runs_model(model)
        }
        model_demand = {
            adapter: share
            for adapter, share in demand.items()
            if _get_model(inventory, adapter) == model
        }
        eligible = [
            other
            for other, summary in others.items()
            if not summary.slow and not summary.leaving
        ]
        others.pop(name, None)
        warm_elsewhere = frozenset(
            itertools.chain(*(summary.warm for summary in others.values()))
        )
        return placement.Placement(
            placement.list_wanted(
                name, eligible, model_demand, warm_elsewhere
            ),
            warm_elsewhere,
            tuple(summary.chunk_ms for summary in others.values()),
        )

    def _compute_quotas(self) -> quota_views.QuotaView:
        configuration = self._board.configuration.value.configuration
        loaded = {
            vm.vm: [
                adapter
                for summary in vm.endpoints.values()
                for adapter in summary.warm
            ]
            for vm in self._board.membership.value.vms.values()
        }
        loaded[self._board.vm] = [
            adapter
            for queue in self._board.dispatch.value.endpoints.values()
            for adapter in queue.residents
        ]
        adapters = configuration.inventory.adapters
        members = {
            version: adapters[version.rpartition("@")[0]].owner
            for version in itertools.chain(*loaded.values())
            if version.rpartition("@")[0] in adapters
        }
        return quota_views.compute_quota_view(
            configuration.rules.members, loaded, members, self._board.vm
        )

    def _list_summaries(self) -> dict[str, messages.EndpointSummary]:
        """Return the newest summary of every endpoint that has an owner."""
        remote = (
            vm.endpoints.items()
            for vm in self._board.membership.value.vms.values()
        )
        own = summaries.summarize_owned(self._board)
        return dict(itertools.chain(*remote, own.items()))


def _get_model(inventory: inventories.Inventory, adapter: str) -> str | None:
    entry = inventory.adapters.get(adapter.rpartition("@")[0])
    return None if entry is None else entry.base_model
