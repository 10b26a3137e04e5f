"""Tests of the endpoint owners that an entry VM assumes."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.membership import messages
from bronzetrack.membership import view as views
from bronzetrack.ownership import leases
from bronzetrack.routing import choice

OWN = {"e1": messages.EndpointSummary(free_slots=1)}


@pytest.fixture
def ownership() -> leases.OwnershipState:
    """Return a state in which VM a owns e1 and e2 by the log it has read."""
    owner = leases.Ownership("a", "a1", 3, 0)
    return leases.OwnershipState(
        owners={"e1": owner, "e2": owner}, caught_up=True
    )


@pytest.fixture
def view() -> views.MembershipView:
    """Return a view in which VM b claims e1 in its heartbeat."""
    hello = messages.Hello(1, "b", "b1", "zone-a", "127.0.0.1:1", "")
    view = views.record_hello(views.MembershipView(), hello, 0)
    view = views.record_session(view, "b", "b1", True)
    heartbeat = messages.Heartbeat(
        "b", "b1", messages.VmStatus.SERVING, 4, OWN
    )
    return views.record_heartbeat(view, heartbeat, 0)


def list_owners(ownership, view, own=OWN):
    found = choice.collect_summaries(ownership, view, own, "a", "a1", 0)
    return {name: received.owner for name, received in found.items()}


def test_released_endpoint_is_not_reported(ownership, view):
    """Guards against attempts that this VM would refuse itself."""
    assert list_owners(ownership, view) == {"e1": "a"}


def test_superseded_owner_sends_work_to_its_successor(ownership, view):
    """Guards against work for an owner that cannot reach the log."""
    superseded = attrs.evolve(ownership, standing=leases.Standing.SUPERSEDED)
    assert list_owners(superseded, view) == {"e1": "b"}
