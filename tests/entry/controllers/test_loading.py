"""Turns of the controller that gives orders."""

from __future__ import annotations

import pytest

from bronzetrack.entry.controllers import loading as controllers

NEED = ("m", "a1")


@pytest.fixture
def controller(board, now) -> controllers.LoadingController:
    """Controller of a VM that holds the lease."""
    board.lease.value.note_renewed(0, now, "vm-1")
    return controllers.LoadingController(board, None, lambda: now)


def test_vm_that_takes_the_lease_again_trusts_nothing_from_before(
    controller, board, make_endpoint, now
):
    """Guards against orders that overfill an engine.

    Another holder may have used the places meanwhile.
    """
    controller._run_turn(None, now)
    known = board.loading.value.find_engine(make_endpoint("e"))
    known.pending = {NEED: now + 1}
    board.lease.value.give_up()
    controller._run_turn(None, now)
    assert board.loading.value.engines == {"e": known}
    board.lease.value.note_renewed(5, now, "vm-1")
    controller._run_turn(None, now)
    assert board.loading.value.engines == {}


def test_vm_that_gave_the_lease_up_announces_its_last_loads(
    controller, board, make_endpoint, now
):
    """Guards against requests that wait for a load that nobody announces."""
    endpoint = make_endpoint("e")
    board.endpoints.value.add(endpoint)
    controller._run_turn(None, now)
    known = board.loading.value.find_engine(endpoint)
    known.held = {NEED: 1}
    known.pending = {NEED: now + 0.2}
    board.lease.value.give_up()
    controller._run_turn(None, now)
    assert len(board.placed) == 0
    controller._run_turn(None, now + 0.3)
    assert [item.adapter for item in board.placed.take()] == ["a1"]
    assert board.loading.value.engines == {}
