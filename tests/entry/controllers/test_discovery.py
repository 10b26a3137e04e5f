"""How often the list of endpoints is read."""

from __future__ import annotations

import pytest

from bronzetrack.entry import roles
from bronzetrack.entry import routes

# Entries that lapsed with the store are back within this time.
RETURN_S = 2.0
CLOSE_GAP_S = 0.1
USUAL_GAP_S = 1.0


@pytest.fixture
def reader(make_controller, board) -> roles.Controller:
    """Controller of a VM whose configuration names one service."""
    board.rules.value.configuration = routes.Configuration(
        1, {}, {"s": routes.Service("s", "/h", 10)}
    )
    return make_controller("discovery")


def test_start_with_a_whole_list_reads_no_faster(
    reader, board, make_endpoint, now
):
    """Guards against calls of the store that no caller gains from."""
    board.endpoints.value.add(make_endpoint("e"))
    assert reader._choose_interval(now, now) >= USUAL_GAP_S


def test_start_with_a_service_without_entries_reads_faster(reader, now):
    """Guards against idle endpoints after an outage that was not seen."""
    soon = now + RETURN_S / 2
    assert reader._choose_interval(now, soon) <= CLOSE_GAP_S


def test_service_that_stays_empty_is_not_read_faster_for_ever(reader, now):
    """Guards against ten calls a second for a service that is gone."""
    later = now + RETURN_S
    assert reader._choose_interval(now, later) >= USUAL_GAP_S


def test_return_of_the_store_is_followed_closely(
    reader, board, make_endpoint, now
):
    """Guards against entries that returned and are not used."""
    board.endpoints.value.add(make_endpoint("e"))
    reader._recovered_at = now
    started_at = now - 60
    soon = now + RETURN_S / 2
    assert reader._choose_interval(started_at, soon) <= CLOSE_GAP_S
