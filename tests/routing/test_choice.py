"""Tests of what an entry VM takes as owners."""

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
    """VM a owns e1 and e2, as far as it has read."""
    owner = leases.Ownership("a", "a1", 3, 0)
    return leases.OwnershipState(
        owners={"e1": owner, "e2": owner}, caught_up=True
    )


@pytest.fixture
def view() -> views.MembershipView:
    """VM b says that it owns e1."""
    hello = messages.Hello(1, "b", "b1", "zone-a", "127.0.0.1:1", "")
    view = views.record_hello(views.MembershipView(), hello, 0)
    view = views.record_session(view, "b", "b1", True)
    heartbeat = messages.Heartbeat(
        "b", "b1", messages.VmStatus.SERVING, 4, OWN
    )
    return views.record_heartbeat(view, heartbeat, 0)


def list_owners(ownership, view, own=OWN):
    found = choice.collect_reports(ownership, view, own, "a", "a1", 0)
    return {name: report.owner for name, report in found.items()}


def test_endpoint_that_was_given_up_is_no_candidate(ownership, view):
    """Guards against attempts that this VM itself refuses at once."""
    assert list_owners(ownership, view) == {"e1": "a"}


def test_superseded_owner_sends_work_to_its_successor(ownership, view):
    """Guards against callers that depend on a VM without the log."""
    cut = attrs.evolve(ownership, standing=leases.Standing.SUPERSEDED)
    assert list_owners(cut, view) == {"e1": "b"}
