"""Tests of the interval at which the entries of endpoints are read."""

from __future__ import annotations

import pytest

from bronzetrack.entry import roles
from bronzetrack.entry import routes

# Entries that expired during an outage return within this time.
RECOVERY_S = 2.0
RECOVERY_INTERVAL_S = 0.1
NORMAL_INTERVAL_S = 1.0


@pytest.fixture
def discovery(make_controller, board) -> roles.Controller:
    """Discovery controller of a VM whose configuration has one service."""
    board.rules.value.configuration = routes.Configuration(
        1, {}, {"s": routes.Service("s", "/h", 10)}
    )
    return make_controller("discovery")


def test_start_with_all_entries_uses_the_normal_interval(
    discovery, board, make_endpoint, now
):
    """Guards against frequent calls of the store that help no caller."""
    board.endpoints.value.add(make_endpoint("e"))
    assert discovery._choose_interval(now, now) >= NORMAL_INTERVAL_S


def test_start_with_an_empty_service_uses_the_short_interval(discovery, now):
    """Guards against idle endpoints after an outage before the start.

    A VM that starts after an outage of the store did not see it.
    """
    soon = now + RECOVERY_S / 2
    assert discovery._choose_interval(now, soon) <= RECOVERY_INTERVAL_S


def test_service_that_stays_empty_returns_to_the_normal_interval(
    discovery, now
):
    """Guards against ten calls per second for a service without endpoints."""
    later = now + RECOVERY_S
    assert discovery._choose_interval(now, later) >= NORMAL_INTERVAL_S


def test_recovery_of_the_store_uses_the_short_interval(
    discovery, board, make_endpoint, now
):
    """Guards against idle endpoints whose entries returned after an outage."""
    board.endpoints.value.add(make_endpoint("e"))
    discovery._recovered_at = now
    started_at = now - 60
    soon = now + RECOVERY_S / 2
    assert discovery._choose_interval(started_at, soon) <= RECOVERY_INTERVAL_S
