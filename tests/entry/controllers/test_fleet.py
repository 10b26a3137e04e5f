"""Tests of reports between many entry VMs on a simulated network."""

from __future__ import annotations

from collections.abc import Callable
import itertools

import attrs
from entry import links
from entry import sites
import pytest

from bronzetrack.entry import board as boards
from bronzetrack.entry import messages
from bronzetrack.entry import process
from bronzetrack.entry import roles
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry.peering import hubs
from bronzetrack.entry.peering import peers
from bronzetrack.platform import store as stores

TICK_S = hubs.HEARTBEAT_INTERVAL_S
SLOT_S = hubs.DIGEST_SLOT_S
SLOTS = round(TICK_S / SLOT_S)
# Time within which every VM knows of a change.
SPREAD_S = 2.0
# Datagrams that a VM which is no hub may send or receive, in a second.
DATAGRAMS_PER_S = 40
# Bytes that such a VM may receive in a second.
BYTES_PER_S = 4 * 1024


@attrs.define
class Sender:
    """Sender of one VM that puts datagrams on the simulated network."""

    fleet: Fleet
    vm: str

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Queue a datagram."""
        self.fleet.queue.append((self.vm, address[0], data))

    def broadcast(self, items, recipients) -> None:
        """Queue messages to several VMs."""
        for data in list(messages.bundle(map(messages.encode, items))):
            for peer in recipients:
                self.send(data, peer.address)


@attrs.define
class Fleet:
    """Membership controllers of many VMs; the host of a VM is its name.

    :param passes: whether a datagram from one VM to another arrives
    :param links: links of the VMs, which have no limit without one
    :param sent: datagrams and bytes that each VM has sent
    :param received: datagrams and bytes that each VM has received
    """

    now: float = 1_000.0
    tick: int = 0
    vms: dict[str, roles.Controller] = attrs.field(factory=dict)
    queue: list[tuple[str, str, bytes]] = attrs.field(factory=list)
    passes: Callable[[str, str], bool] = lambda sender, recipient: True
    links: dict[str, links.Link] = attrs.field(factory=dict)
    sent: dict[str, list[int]] = attrs.field(factory=dict)
    received: dict[str, list[int]] = attrs.field(factory=dict)

    def start(self, name: str) -> roles.Controller:
        """Start a VM that knows no other."""
        settings = entry_settings.parse_settings(sites.make_settings(name))
        settings = attrs.evolve(settings, peer_ip=name)
        board = boards.Blackboard(settings, "run")
        board.lifecycle.value.ready = True
        controller = roles.CONTROLLERS.lookup("membership")(
            board, roles.Ports(None, None, None), lambda: self.now
        )
        controller._reporter.sender = Sender(self, name)
        self.vms[name] = controller
        return controller

    def announce(self, name: str, other: str) -> None:
        """Let a VM read the announcement of another from the store."""
        addresses = messages.VmAddresses(f"{other}:1", other, 3, "z")
        value = messages.encode_vm_addresses(addresses)
        self.vms[name].announcements.apply(stores.KeyedRecord(other, value, 0))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.tick += 1
            for controller in self.vms.values():
                self._run_tick(controller)
            self._deliver()
            for _ in range(SLOTS):
                self.now += SLOT_S
                for controller in self.vms.values():
                    controller._reporter.send_digests(
                        self.now - SLOT_S, self.now
                    )
                self._deliver()

    def _run_tick(self, controller: roles.Controller) -> None:
        """Let a VM do what it does at each heartbeat."""
        controller._reporter.send_heartbeats(self.now)
        controller._reporter.update_totals(self.now)
        if self.tick % hubs.SILENT_TICKS == 0:
            controller._reporter.send_to_silent(self.now)
        controller._reporter.send_changed_members(self.now)
        controller._check_alive(self.now)
        self._apply_lease_report(controller.board)

    def _apply_lease_report(self, board: boards.Blackboard) -> None:
        """Apply reports of the lease as the leadership controller does."""
        report = board.membership.value.lease_report
        board.lease.value.update_end(
            report.end, report.holder, self.now, report.released
        )

    def _deliver(self) -> None:
        queued, self.queue = self.queue, []
        for sender, recipient, data in queued:
            self._count(self.sent, sender, data)
            link = self.links.get(sender)
            if link is not None and not link.accept(data, self.now):
                continue
            if recipient in self.vms and self.passes(sender, recipient):
                self._count(self.received, recipient, data)
                self.vms[recipient].receive(data, (sender, 3))

    def _count(self, table, vm, data) -> None:
        count = table.setdefault(vm, [0, 0])
        count[0] += 1
        count[1] += len(data)

    def list_alive(self, name: str) -> set[str]:
        """Return the VMs that a VM takes for alive."""
        table = self.vms[name].board.membership.value.peer_table
        return {peer.vm for peer in table.list_alive(self.now)}

    def list_hubs(self) -> set[str]:
        """Return the VMs that are hubs."""
        return {
            name
            for name, item in self.vms.items()
            if item.board.membership.value.is_hub
        }


@pytest.fixture
def make_fleet() -> Callable[[int], Fleet]:
    """Factory of a fleet whose VMs have read all announcements."""
    process.import_controllers()

    def make(count):
        fleet = Fleet()
        names = [f"vm-{number}" for number in range(count)]
        for name in names:
            fleet.start(name)
        for name, other in itertools.permutations(names, 2):
            fleet.announce(name, other)
        return fleet

    return make


@pytest.mark.parametrize("count", [7, 60, 200])
def test_vms_know_each_other_at_a_flat_cost(make_fleet, count):
    """Guards against reports whose number grows with the fleet."""
    fleet = make_fleet(count)
    fleet.run(3)
    names = set(fleet.vms)
    assert all(fleet.list_alive(name) == names - {name} for name in names)
    chosen = fleet.list_hubs()
    fleet.sent.clear()
    fleet.received.clear()
    seconds = 9
    fleet.run(seconds)
    for table in (fleet.sent, fleet.received):
        ordinary = [item for name, item in table.items() if name not in chosen]
        assert max(item[0] for item in ordinary) < DATAGRAMS_PER_S * seconds
    sizes = [
        item[1] for name, item in fleet.received.items() if name not in chosen
    ]
    assert max(sizes) < BYTES_PER_S * seconds


def list_callers_choices(fleet: Fleet) -> list[int]:
    """Return of how many VMs each VM tells callers."""
    return [
        len(
            peers.list_caller_addresses(
                item.board.membership.value.peer_table, fleet.now, name, True
            )
        )
        for name, item in fleet.vms.items()
    ]


@pytest.mark.parametrize("count", [73, 195])
def test_digests_lost_in_bursts_leave_callers_with_the_hubs(
    make_fleet, make_endpoint, count
):
    """Guards against hubs that serve the callers of all VMs."""
    fleet = make_fleet(count)
    for name, controller in fleet.vms.items():
        fleet.links[name] = links.Link()
        for number in range(30):
            endpoint = make_endpoint(f"i-{number:010}")
            controller.board.endpoints.value.add(endpoint)
            traffic = controller.board.traffic.value
            traffic.get_or_create(endpoint.identity).start(None)
    fleet.run(3)
    for _ in range(20):
        fleet.run(TICK_S)
        choices = list_callers_choices(fleet)
        assert min(choices) == peers.MAX_CALLER_ADDRESSES


def test_loss_of_half_of_the_fleet_is_known_soon(make_fleet):
    """Guards against callers that are sent to VMs that are gone.

    All hubs are among the VMs that are lost.
    """
    fleet = make_fleet(60)
    fleet.run(3)
    lost = fleet.list_hubs() | set(sorted(fleet.vms)[:30])
    for name in lost:
        del fleet.vms[name]
    fleet.run(peers.ALIVE_TIMEOUT_S + TICK_S)
    assert not any(fleet.list_alive(name) & lost for name in fleet.vms)
    fleet.run(SPREAD_S)
    names = set(fleet.vms)
    assert all(fleet.list_alive(name) == names - {name} for name in names)


def test_parts_of_a_divided_fleet_know_their_own(make_fleet):
    """Guards against a zone without hubs that loses sight of itself."""
    fleet = make_fleet(40)
    fleet.run(3)
    chosen = fleet.list_hubs()
    others = sorted(set(fleet.vms) - chosen)
    part = set(others[:10])
    fleet.passes = lambda sender, recipient: (sender in part) == (
        recipient in part
    )
    fleet.run(peers.ALIVE_TIMEOUT_S + 2 * SPREAD_S)
    for name in fleet.vms:
        own = part if name in part else set(fleet.vms) - part
        assert fleet.list_alive(name) == own - {name}
    fleet.passes = lambda sender, recipient: True
    fleet.run(2 * SPREAD_S)
    names = set(fleet.vms)
    assert all(fleet.list_alive(name) == names - {name} for name in names)


@pytest.mark.parametrize("size", [1, 10])
def test_parts_find_each_other_after_a_long_cut(make_fleet, size):
    """Guards against a fleet that stays divided after a cut has healed."""
    fleet = make_fleet(40)
    fleet.run(3)
    others = sorted(set(fleet.vms) - fleet.list_hubs())
    part = set(others[:size])
    fleet.passes = lambda sender, recipient: (sender in part) == (
        recipient in part
    )
    fleet.run(2 * peers.PEER_EXPIRY_S)
    fleet.passes = lambda sender, recipient: True
    fleet.run(60)
    names = set(fleet.vms)
    assert all(fleet.list_alive(name) == names - {name} for name in names)


def test_vm_that_restarts_without_the_store_finds_the_fleet(make_fleet):
    """Guards against a restarted VM that stays alone in an outage.

    It knows no announcement, and learns the holder of the lease from a hub.
    """
    fleet = make_fleet(20)
    fleet.vms["vm-5"].board.lease.value.apply_renewal(3, fleet.now, "vm-5")
    fleet.run(3)
    chosen = fleet.list_hubs()
    name = next(item for item in fleet.vms if item not in chosen | {"vm-5"})
    del fleet.vms[name]
    fleet.run(SPREAD_S)
    fleet.start(name)
    fleet.run(SPREAD_S)
    assert chosen <= fleet.list_alive(name)
    assert name in fleet.list_alive(next(iter(chosen)))
    membership = fleet.vms[name].board.membership.value
    assert membership.lease_report.holder == "vm-5"
    assert membership.holder_address == ("vm-5", ("vm-5", 3))


def test_stopping_vm_is_known_within_two_heartbeats(make_fleet):
    """Guards against callers that are sent to a VM which stops."""
    fleet = make_fleet(30)
    fleet.run(3)
    chosen = fleet.list_hubs()
    name = next(item for item in fleet.vms if item not in chosen)
    fleet.vms[name].board.lifecycle.value.stopping_since = fleet.now
    fleet.run(2 * TICK_S)
    tables = (
        item.board.membership.value.peer_table.peers
        for other, item in fleet.vms.items()
        if other != name
    )
    assert all(peers_by_vm[name].stopping for peers_by_vm in tables)


def test_load_of_all_other_vms_reaches_every_vm(make_fleet, make_endpoint):
    """Guards against requests to an endpoint that other VMs have filled."""
    fleet = make_fleet(30)
    for number, controller in enumerate(fleet.vms.values()):
        controller.board.endpoints.value.add(make_endpoint("e"))
        traffic = controller.board.traffic.value.get_or_create("e")
        for _ in range(number):
            traffic.start(None)
    fleet.run(3)
    for number, controller in enumerate(fleet.vms.values()):
        active = controller.board.membership.value.active
        assert active == {"e": sum(range(30)) - number}


# An endpoint gets no requests this long after the store has confirmed that it
# leaves, so that a VM has to read by itself before that.
LEAVING_BOUND_S = 2.0
READ_S = 0.2


def read_store(fleet: Fleet, cut: set[str]) -> None:
    """Let all VMs read both topics now, but those that are cut off."""
    for name, controller in fleet.vms.items():
        if name not in cut:
            board = controller.board
            board.store_read_at.write("discovery", fleet.now)
            board.operator_read_at.write("configuration", fleet.now)


def run_reading(fleet: Fleet, seconds: float, cut: set[str]) -> None:
    """Let time pass while VMs read the store once a second."""
    ticks = round(1 / TICK_S)
    for tick in range(round(seconds / TICK_S)):
        if tick % ticks == 0:
            read_store(fleet, cut)
        fleet.run(TICK_S)


def list_informed(fleet: Fleet) -> set[str]:
    """Return the VMs that rely on hubs for news of both topics."""
    return {
        name
        for name, item in fleet.vms.items()
        if fleet.now < item.board.membership.value.endpoint_news_until
        and fleet.now < item.board.membership.value.operator_news_until
    }


def test_vms_rely_on_hubs_that_read_the_store(make_fleet):
    """Guards against calls of the store that grow with the fleet."""
    fleet = make_fleet(30)
    run_reading(fleet, 4, set())
    others = set(fleet.vms) - fleet.list_hubs()
    for _ in range(10):
        run_reading(fleet, 2, set())
        assert list_informed(fleet) == others


@pytest.mark.parametrize("spared", [0, 1])
def test_vms_rely_on_no_hub_that_does_not_reach_the_store(make_fleet, spared):
    """Guards against requests to endpoints whose leaving hubs do not see.

    Hubs that are cut off from the store go on sending digests. One that still
    reads it is enough.
    """
    fleet = make_fleet(30)
    run_reading(fleet, 4, set())
    chosen = fleet.list_hubs()
    others = set(fleet.vms) - chosen
    cut = set(sorted(chosen)[spared:])
    run_reading(fleet, LEAVING_BOUND_S - READ_S, cut)
    assert list_informed(fleet) == (others if spared else set())
    run_reading(fleet, 10, cut)
    assert list_informed(fleet) == (others if spared else set())
    run_reading(fleet, SPREAD_S, set())
    assert list_informed(fleet) == others


def test_vms_rely_on_no_hub_that_wakes_with_an_old_view(make_fleet):
    """Guards against the digest of a hub that stood still."""
    fleet = make_fleet(30)
    run_reading(fleet, 4, set())
    frozen = {name: fleet.vms.pop(name) for name in fleet.list_hubs()}
    fleet.now += 5
    fleet.vms |= frozen
    fleet.run(2 * TICK_S)
    assert list_informed(fleet) == set()
