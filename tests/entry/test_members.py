"""Which VMs callers are sent to."""

from __future__ import annotations

from bronzetrack.entry import members


def make_peer(name, heard_at, **fields):
    """Return a peer that was heard."""
    peer = members.Peer(name, f"{name}:1", ("127.0.0.1", 1), "z", 0.0)
    peer.heard_at = heard_at
    peer.ready = True
    for key, value in fields.items():
        setattr(peer, key, value)
    return peer


def test_silent_and_stopping_vms_are_left_out(now):
    """Guards against callers who connect to a VM that is gone."""
    found = members.Members(
        {
            "a": make_peer("a", now - 0.1),
            "b": make_peer("b", now - 10),
            "c": make_peer("c", now - 0.1, stopping=True),
            "d": make_peer("d", now - 0.1, ready=False),
        }
    )
    assert members.list_fronts(found, now, "me:1", True) == ["a:1", "me:1"]
    assert members.list_fronts(found, now, "me:1", False) == ["a:1"]


def test_vm_that_reaches_nobody_is_isolated(now):
    """Guards against a cut-off VM that keeps its callers to itself."""
    silent = members.Members({"a": make_peer("a", now - 10)})
    heard = members.Members({"a": make_peer("a", now - 0.1)})
    assert members.is_isolated(silent, now - 10, now)
    assert not members.is_isolated(silent, now - 0.1, now)
    assert not members.is_isolated(heard, now - 10, now)
    assert not members.is_isolated(members.Members(), now - 10, now)
