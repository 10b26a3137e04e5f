"""Copies of the blackboard for decisions that must leave no trace."""

from __future__ import annotations

import copy

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import board as boards
from bronzetrack.entry.costs import state as cost_states


def copy_board(board: boards.Blackboard) -> boards.Blackboard:
    """Return a blackboard on which decisions change nothing of another.

    What decisions on endpoints change is copied. The rest is shared, as it is
    only read.
    """
    found = copy.copy(board)
    found.admission = _copy_section(
        board.admission, board.admission.value.copy()
    )
    found.budgets = _copy_section(
        board.budgets,
        boards.Budgets(
            {
                name: attrs.evolve(
                    item,
                    requests=item.requests.copy(),
                    retries=item.retries.copy(),
                )
                for name, item in board.budgets.value.by_service.items()
            }
        ),
    )
    costs = board.costs.value
    found.costs = _copy_section(
        board.costs,
        attrs.evolve(
            costs,
            services={
                name: _copy_costs(item)
                for name, item in costs.services.items()
            },
        ),
    )
    return found


def _copy_section(
    section: blackboard.Section[blackboard.T], value: blackboard.T
) -> blackboard.Section[blackboard.T]:
    return blackboard.Section(section.name, section.writer, value)


def _copy_costs(costs: cost_states.ServiceCosts) -> cost_states.ServiceCosts:
    """Return costs whose model may keep what it has fitted."""
    return attrs.evolve(costs, first_events=copy.copy(costs.first_events))
