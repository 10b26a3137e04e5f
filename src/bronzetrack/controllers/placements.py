"""What the dispatch controller knows of demand at other VMs and here."""

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
    """Placement of adapters by owned endpoint, renewed at an interval.

    The sample of demand is the latest requests that this VM took in.
    """

    def __init__(self, board: boards.Blackboard) -> None:
        self._board = board
        self._renewed_ms: int | None = None
        self._placements: dict[str, placement.Placement] = {}
        self.quotas = quota_views.QuotaView()

    def get(self, name: str) -> placement.Placement:
        """Return the placement of an owned endpoint."""
        return self._placements.get(name, placement.Placement())

    def refresh(self, now_ms: int) -> None:
        """Work the placements out again if the interval has passed."""
        if self._renewed_ms is not None:
            if now_ms - self._renewed_ms < REFRESH_INTERVAL_MS:
                return
        self._renewed_ms = now_ms
        table = self._board.requests.value
        entries = (*table.recent, *table.open.values())
        demand = placement.count_demand(entry.adapter for entry in entries)
        known = self._list_summaries()
        self.quotas = self._judge_quotas()
        self._placements = {
            name: self._place(name, demand, known)
            for name in self._board.dispatch.value.endpoints
        }

    def _place(
        self,
        name: str,
        demand: dict[str, float],
        known: dict[str, messages.EndpointSummary],
    ) -> placement.Placement:
        inventory = self._board.configuration.value.configuration.inventory
        endpoint = inventory.endpoints.get(name)
        if endpoint is None:
            return placement.Placement()
        model = endpoint.base_model
        others = {
            other: summary
            for other, summary in known.items()
            if other in inventory.endpoints
            and inventory.endpoints[other].runs_model(model)
        }
        of_model = {
            adapter: part
            for adapter, part in demand.items()
            if _get_model(inventory, adapter) == model
        }
        normal = [
            other
            for other, summary in others.items()
            if not summary.slow and not summary.leaving
        ]
        others.pop(name, None)
        elsewhere = frozenset(
            itertools.chain(*(summary.warm for summary in others.values()))
        )
        return placement.Placement(
            placement.list_wanted(name, normal, of_model, elsewhere),
            elsewhere,
            tuple(summary.chunk_ms for summary in others.values()),
        )

    def _judge_quotas(self) -> quota_views.QuotaView:
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
        return quota_views.judge_quotas(
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
    known = inventory.adapters.get(adapter.rpartition("@")[0])
    return None if known is None else known.base_model
