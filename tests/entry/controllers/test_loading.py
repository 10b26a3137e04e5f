"""Turns of the controller that gives orders."""

from __future__ import annotations

from bronzetrack.entry import messages

NEED = ("m", "a1")


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


def test_load_that_another_holder_ordered_may_come_late(
    controller, board, make_endpoint, now
):
    """Guards against a holder that ends over a load of its predecessor.

    The kind of such a load is not known here.
    """
    endpoint = make_endpoint("e")
    board.endpoints.value.add(endpoint)
    known = board.loading.value.find_engine(endpoint)
    known.loaded_at[NEED] = now
    want = messages.Want("v", "s", *NEED, 1, 1, "e", "", 100)
    board.wanted.post(want)
    controller._run_turn(None, now)
    assert now < known.pending[NEED] < now + 0.2


def test_idle_holder_rests_until_something_is_due(
    controller, board, make_endpoint, now
):
    """Guards against processor time spent while nothing is asked for."""
    endpoint = make_endpoint("e")
    known = board.loading.value.find_engine(endpoint)
    known.check_at = None
    assert controller._measure_pause_ms(now) > 200
    known.check_at = now + 0.1
    assert 90 <= controller._measure_pause_ms(now) <= 101
    known.pending[NEED] = now + 0.05
    assert controller._measure_pause_ms(now) <= 51
    known.pending.clear()
    known.check_at = None
    board.traffic.value.find("e").start(NEED)
    assert controller._measure_pause_ms(now) <= 51
    board.lease.value.give_up()
    known.check_at = now
    assert controller._measure_pause_ms(now) > 200
