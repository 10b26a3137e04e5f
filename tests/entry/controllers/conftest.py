"""Fixtures for tests of the controllers of an entry VM."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bronzetrack.entry import process
from bronzetrack.entry import roles


@pytest.fixture
def make_controller(board, ports, now) -> Callable[[str], roles.Controller]:
    """Factory for the controller with a given name."""
    process.import_controllers()
    return lambda name: roles.CONTROLLERS.lookup(name)(
        board, ports, lambda: now
    )


@pytest.fixture
def controller(make_controller, board, now) -> roles.Controller:
    """Loading controller of a VM that holds the lease."""
    board.lease.value.apply_renewal(0, now, "vm-1")
    return make_controller("loading")
