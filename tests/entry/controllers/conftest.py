"""Fixtures of the entry VM's controllers."""

from __future__ import annotations

import pytest

from bronzetrack.entry.controllers import loading


@pytest.fixture
def controller(board, ports, now) -> loading.LoadingController:
    """Controller of a VM that holds the lease."""
    board.lease.value.note_renewed(0, now, "vm-1")
    return loading.LoadingController(board, ports, lambda: now)
