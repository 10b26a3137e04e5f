"""Tests of the view of the other VMs."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.membership import messages
from bronzetrack.membership import view as views

HELLO = messages.Hello(1, "b", "b1", "zone-a", "127.0.0.1:1", "")
SERVING = messages.Heartbeat("b", "b1", messages.VmStatus.SERVING, 4)


@pytest.fixture
def view() -> views.MembershipView:
    """Return a view in which VM b serves and was heard at 1,000 ms."""
    view = views.record_hello(views.MembershipView(), HELLO, 0)
    view = views.record_session(view, "b", "b1", True)
    return views.record_heartbeat(view, SERVING, 1_000)


def test_silent_vm_gets_no_work(view):
    """Guards against work relayed to a VM that is frozen or cut off."""
    assert views.list_serving(view, 1_000)
    assert not views.list_serving(view, 1_000 + views.SUSPECT_AFTER_MS)


def test_vm_without_session_to_it_gets_no_work(view):
    """Guards against a one-way partition that looks healthy."""
    view = views.record_session(view, "b", "b1", False)
    view = views.record_heartbeat(view, SERVING, 2_000)
    assert not views.list_serving(view, 2_000)


@pytest.mark.parametrize("source", ["heartbeat", "list"])
def test_vm_marked_leaving_by_any_source_gets_no_work(view, source):
    """Guards against work for a VM that only one source marks as leaving."""
    if source == "list":
        view = attrs.evolve(view, listed_leaving=frozenset({"b"}))
    else:
        leaving = attrs.evolve(SERVING, status=messages.VmStatus.LEAVING)
        view = views.record_heartbeat(view, leaving, 1_100)
    assert not views.list_serving(view, 1_200)


def test_restart_under_the_same_name_resets_state(view):
    """Guards against keeping the state of a previous incarnation."""
    restarted = attrs.evolve(HELLO, incarnation="b2")
    view = views.record_hello(view, restarted, 2_000)
    assert not views.list_serving(view, 2_000)
    # Late messages of the previous incarnation change nothing.
    late = views.record_heartbeat(view, SERVING, 2_100)
    late = views.record_session(late, "b", "b1", True)
    assert late == view


def test_vm_that_comes_back_is_added_again(view):
    """Guards against a VM that is not added again after a partition."""
    expired = views.expire_vms(view, 1_000 + views.EXPIRE_AFTER_MS)
    assert not expired.vms
    back = views.record_hello(expired, HELLO, 20_000)
    back = views.record_session(back, "b", "b1", True)
    back = views.record_heartbeat(back, SERVING, 20_100)
    assert views.list_serving(back, 20_100)


def test_owner_of_the_same_endpoint_may_be_a_successor(view):
    """Guards against missing a successor while the log is unreachable."""
    summaries = {"e1": messages.EndpointSummary()}
    heartbeat = attrs.evolve(SERVING, endpoints=summaries, may_claim=False)
    view = views.record_heartbeat(view, heartbeat, 1_000)
    assert views.list_claimants(view, ["e1"], 1_000) == {"b": True}
    assert views.list_claimants(view, ["e2"], 1_000) == {"b": False}
    silent_ms = 1_000 + views.SUSPECT_AFTER_MS
    assert views.list_claimants(view, ["e1"], silent_ms) == {}


def test_lists_that_disagree_are_merged(view):
    """Guards against ignoring leaving entries of another VM's list."""
    heartbeat = attrs.evolve(SERVING, listed_leaving=("e1",))
    view = views.record_vm_list(view, frozenset({"e2"}))
    view = views.record_heartbeat(view, heartbeat, 1_000)
    assert view.listed_leaving == {"e1", "e2"}
    expired = views.expire_vms(view, 1_000 + views.EXPIRE_AFTER_MS)
    assert expired.listed_leaving == {"e2"}
    restarted = views.record_hello(
        view, attrs.evolve(HELLO, incarnation="b2"), 1_000
    )
    assert restarted.listed_leaving == {"e2"}
    view = views.record_heartbeat(view, SERVING, 1_100)
    assert (
        views.record_vm_list(view, frozenset()).listed_leaving == frozenset()
    )
