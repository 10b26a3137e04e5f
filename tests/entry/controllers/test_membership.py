"""What other VMs say, as the controller takes it in."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.platform import store as stores

PEER = ("127.0.0.1", 9)
FIELDS = {"h": 10, "u": 2, "w": 9, "p": 4, "l": 1}
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.sampled_from(["", "vm-2", "e"]),
    lambda inner: strategies.lists(inner, max_size=2)
    | strategies.dictionaries(
        strategies.sampled_from(["e", "m", 1]), inner, max_size=2
    ),
    max_leaves=4,
)


@pytest.fixture
def membership(make_controller, board) -> roles.Controller:
    """Controller that hears of other VMs."""
    board.lifecycle.value.ready = True
    return make_controller("membership")


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    strategies.sampled_from(sorted(FIELDS)).flatmap(
        lambda tag: strategies.lists(
            VALUES, min_size=FIELDS[tag], max_size=FIELDS[tag]
        ).map(lambda fields: [tag, *fields])
    )
)
def test_fields_of_any_kind_do_not_end_the_process(membership, now, message):
    """Guards against an exception in the callback of a datagram."""
    beat = messages.Heartbeat(
        "vm-2", "i", "f:1", "z", True, False, 3, "v", False, {"e": 1}
    )
    membership.receive(messages.encode(beat), PEER)
    membership.receive(msgpack.packb(message), PEER)
    membership._sum_active(now)
    peer = membership.board.membership.value.members.peers["vm-2"]
    assert all(isinstance(count, int) for count in peer.active.values())
    assert isinstance(peer.lease_end, int)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xc1", *map(msgpack.packb, (3, [1], ["f", 4, 5, "z"]))],
)
def test_announcement_of_any_kind_is_left_out(membership, value):
    """Guards against one VM's entry that ends the process of another."""
    membership._apply(stores.KeyedRecord("vm-2", value, 0))
    assert not membership.board.membership.value.members.peers


def test_announced_vm_is_known(membership):
    """Guards against a check that leaves good announcements out."""
    value = msgpack.packb(["f:1", "127.0.0.1", 9, "z"])
    membership._apply(stores.KeyedRecord("vm-2", value, 0))
    peer = membership.board.membership.value.members.peers["vm-2"]
    assert (peer.front, peer.address, peer.zone) == ("f:1", PEER, "z")
