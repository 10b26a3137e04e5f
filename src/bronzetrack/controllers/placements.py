"""What the dispatch controller knows of demand at other VMs and here."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from bronzetrack.configuration import inventory as inventories
from bronzetrack.dispatch import placement

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
        self._placements = {
            name: self._place(name, demand)
            for name in self._board.dispatch.value.endpoints
        }

    def _place(
        self, name: str, demand: dict[str, float]
    ) -> placement.Placement:
        inventory = self._board.configuration.value.configuration.inventory
        endpoint = inventory.endpoints.get(name)
        if endpoint is None:
            return placement.Placement()
        model = endpoint.base_model
        engines = [
            other
            for other, item in inventory.endpoints.items()
            if item.kind is inventories.EndpointKind.ENGINE
            and item.base_model == model
            and not item.leaving
        ]
        return placement.Placement(
            placement.list_wanted(
                name,
                engines,
                {
                    adapter: part
                    for adapter, part in demand.items()
                    if _get_model(inventory, adapter) == model
                },
            ),
            self._list_elsewhere(name),
        )

    def _list_elsewhere(self, name: str) -> frozenset[str]:
        remote = (
            summary.warm
            for vm in self._board.membership.value.vms.values()
            for summary in vm.endpoints.values()
        )
        local = (
            queue.residents
            for other, queue in self._board.dispatch.value.endpoints.items()
            if other != name
        )
        return frozenset(itertools.chain(*remote, *local))


def _get_model(inventory: inventories.Inventory, adapter: str) -> str | None:
    known = inventory.adapters.get(adapter.rpartition("@")[0])
    return None if known is None else known.base_model
