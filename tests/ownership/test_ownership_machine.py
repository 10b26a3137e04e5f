"""Stateful test of ownership on several replicas with faults of the log."""

from __future__ import annotations

import itertools

import attrs
import effort
from hypothesis import stateful
from hypothesis import strategies
from ownership import reference

from bronzetrack.configuration import inventory as inventories
from bronzetrack.dispatch import transitions
from bronzetrack.endpoints import reports
from bronzetrack.ownership import leases
from bronzetrack.ownership import planner
from bronzetrack.ownership import records
from bronzetrack.ownership import replay
from bronzetrack.ownership import standing

ENDPOINTS = {
    name: inventories.Endpoint("127.0.0.1", 1, "zone-a")
    for name in ("e1", "e2", "e3")
}
VMS = ("a", "b", "c")
# The clocks of the VMs start at different times and run at different rates.
CLOCKS = {"a": (5_000, 1.0), "b": (900_000, 1.02), "c": (77_000, 0.98)}
NAMES = sorted(ENDPOINTS)


@attrs.frozen
class Faults:
    """The faults that are injected while the replicas run.

    A field that names a VM is empty if no VM has the fault.

    :param asleep: a VM that does nothing
    :param blind: a VM that does not read the log
    :param late_leases: a VM whose renewals are appended late or never
    :param late_claims: a VM whose other records are appended late or never
    :param unseen: a VM that is not considered as serving
    :param sees_itself: whether the unseen VM still considers itself serving
    :param idle: endpoints without work
    :param cut: a VM that cannot reach the log
    :param isolated: whether the VM that is cut off from the log receives no
        heartbeats either
    """

    asleep: str = ""
    blind: str = ""
    late_leases: str = ""
    late_claims: str = ""
    unseen: str = ""
    sees_itself: bool = False
    idle: frozenset[str] = frozenset(NAMES)
    cut: str = ""
    isolated: bool = False


NO_FAULTS = Faults()
SOME_VM = strategies.sampled_from(["", *VMS])
FAULTS = strategies.builds(
    Faults,
    asleep=SOME_VM,
    blind=SOME_VM,
    late_leases=SOME_VM,
    late_claims=SOME_VM,
    unseen=SOME_VM,
    sees_itself=strategies.booleans(),
    idle=strategies.frozensets(strategies.sampled_from(NAMES), min_size=1),
    cut=SOME_VM,
    isolated=strategies.booleans(),
)


@attrs.define
class Replica:
    vm: str
    incarnation: str
    state: leases.OwnershipState = attrs.field(factory=leases.OwnershipState)
    sequence: int = 0
    renewed_ms: int = -leases.LEASE_MS
    copied_ms: int = -leases.LEASE_MS
    paused: bool = False

    def read_clock(self, now_ms: int) -> int:
        start_ms, rate = CLOCKS[self.vm]
        return start_ms + int(now_ms * rate)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Draws faults and compares each replica with the reference replay."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.history: list[object] = []
        self.reference = reference.Replay()
        self.start = 0
        self.down = False
        # Whether the VM that currently runs cannot reach the log.
        self.cut = False
        self.late: list[object] = []
        self.runs = 0
        self.replicas: dict[str, Replica] = {}
        self.orders: dict[str, tuple[int, int]] = {}
        self.started: dict[tuple[str, str], int] = {}
        for vm in VMS:
            self.start_replica(vm)
        self.run_seconds(12)

    def start_replica(self, vm: str) -> None:
        self.runs += 1
        self.replicas[vm] = Replica(vm, f"{vm}{self.runs}")

    def append(self, record: object, late: bool = False) -> None:
        if self.cut:
            return
        if late:
            self.late.append(record)
        elif not self.down:
            self.history.append(record)
            self.reference.add(record)

    def read(self, replica: Replica, count: int, again: int = 0) -> None:
        now_ms = replica.read_clock(self.now_ms)
        if self.down or self.cut:
            replica.state = replay.record_outage(replica.state, now_ms)
            return
        first = max(self.start, replica.state.next_offset - again)
        items = self.history[first : first + count + again]
        replica.state = replay.apply_batch(
            replica.state,
            self.start,
            len(self.history),
            enumerate(items, first),
            replica.incarnation,
            now_ms,
        )
        self.check_owners(replica)

    def renew(self, replica: Replica, late: bool) -> None:
        due_ms = replica.renewed_ms + leases.RENEWAL_INTERVAL_MS
        if self.now_ms < due_ms or not replica.state.caught_up:
            return
        now_ms = replica.read_clock(self.now_ms)
        replica.state = replay.record_renewal(
            replica.state, replica.sequence, now_ms
        )
        record = records.LeaseRecord(
            replica.vm, replica.incarnation, replica.sequence
        )
        replica.sequence += 1
        replica.renewed_ms = self.now_ms
        self.append(record, late)

    def plan(
        self,
        replica: Replica,
        seen: set[str],
        idle: frozenset[str],
        late: bool,
    ) -> None:
        now_ms = replica.read_clock(self.now_ms)
        able = {
            vm
            for vm in seen
            if vm == replica.vm
            or not leases.lacks_lease(
                replica.state, self.replicas[vm].incarnation, now_ms
            )
        }
        planner_input = planner.PlannerInput(
            replica.vm,
            replica.incarnation,
            ENDPOINTS,
            dict.fromkeys(able, "zone-a"),
            idle,
        )
        snapshot = planner.plan_snapshot(replica.state, planner_input, now_ms)
        if snapshot is not None and self.now_ms >= replica.copied_ms + 5_000:
            replica.copied_ms = self.now_ms
            self.append(snapshot, late)
        if not replica.state.caught_up:
            return
        if now_ms >= replica.state.held_until_ms:
            return
        replica.state = planner.plan_handover(replica.state, planner_input)
        for record in (
            planner.plan_release(replica.state, planner_input),
            planner.plan_claim(replica.state, planner_input, now_ms),
        ):
            if record is not None:
                self.append(record, late)

    def run_seconds(self, seconds: int, faults: Faults = NO_FAULTS) -> None:
        """Run all replicas that are not paused, one step per second."""
        for _ in range(seconds):
            self.now_ms += 1_000
            for vm, replica in self.replicas.items():
                if replica.paused or vm == faults.asleep:
                    continue
                seen = set(VMS) - {faults.unseen}
                if faults.sees_itself:
                    seen.add(vm)
                self.cut = vm == faults.cut
                self.renew(replica, vm == faults.late_leases)
                self.read(replica, 0 if vm == faults.blind else 1_000)
                self.evaluate_standing(replica, faults)
                self.plan(replica, seen, faults.idle, vm == faults.late_claims)
                self.cut = False
                self.check_orders()
                self.check_evictions()

    def evaluate_standing(self, replica: Replica, faults: Faults) -> None:
        """Evaluate the standing of a replica from the state of the others.

        Replicas that are paused or asleep report nothing.
        """
        owned = leases.list_owned(replica.state, replica.incarnation)
        claimants = {
            vm: leases.may_claim(other.state, other.read_clock(self.now_ms))
            or not set(owned).isdisjoint(
                leases.list_owned(other.state, other.incarnation)
            )
            for vm, other in self.replicas.items()
            if other is not replica
            and not (other.paused or vm == faults.asleep)
            and not (self.cut and faults.isolated)
        }
        now_ms = replica.read_clock(self.now_ms)
        replica.state = standing.update_standing(
            replica.state, replica.vm, claimants, now_ms
        )

    @stateful.rule(seconds=strategies.integers(1, 14), faults=FAULTS)
    def run_with_faults(self, seconds: int, faults: Faults) -> None:
        self.run_seconds(seconds, faults)

    @stateful.rule(
        cut=strategies.sampled_from(VMS),
        isolated=strategies.booleans(),
        seconds=strategies.integers(20, 30),
    )
    def cut_from_log(self, cut: str, isolated: bool, seconds: int) -> None:
        self.run_seconds(seconds, Faults(cut=cut, isolated=isolated))

    @stateful.rule(seconds=strategies.integers(1, 14))
    def run_without_faults(self, seconds: int) -> None:
        self.run_seconds(seconds)

    @stateful.rule(ms=strategies.integers(1, 900))
    def pass_time(self, ms: int) -> None:
        self.now_ms += ms
        self.check_orders()

    @stateful.rule(
        vm=strategies.sampled_from(VMS),
        count=strategies.integers(0, 4),
        again=strategies.integers(0, 3),
    )
    def read_some(self, vm: str, count: int, again: int) -> None:
        if not self.replicas[vm].paused:
            self.read(self.replicas[vm], count, again)
            self.check_orders()

    @stateful.precondition(lambda self: self.late and not self.down)
    @stateful.rule(data=strategies.data())
    def take_late(self, data: strategies.DataObject) -> None:
        index = data.draw(strategies.integers(0, len(self.late) - 1))
        self.append(self.late.pop(index))

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def pause_or_resume(self, vm: str) -> None:
        self.replicas[vm].paused = not self.replicas[vm].paused
        self.check_orders()

    @stateful.precondition(lambda self: self.late and not self.down)
    @stateful.rule()
    def take_all_late(self) -> None:
        while self.late:
            self.append(self.late.pop())

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def restart_empty(self, vm: str) -> None:
        self.start_replica(vm)

    @stateful.rule()
    def begin_or_end_outage(self) -> None:
        self.down = not self.down

    @stateful.rule(kept=strategies.integers(0, 12))
    def truncate(self, kept: int) -> None:
        self.start = max(self.start, len(self.history) - kept)

    def check_owners(self, replica: Replica) -> None:
        if not replica.state.complete:
            assert not replica.state.owners
            return
        assert {
            name: (owner.incarnation, owner.fencing)
            for name, owner in replica.state.owners.items()
        } == self.reference.history[replica.state.next_offset]

    def check_orders(self) -> None:
        """Send an exclusive order from each replica that may do so.

        Check that orders of two owners don't overlap and that fencing tokens
        don't decrease.
        """
        for name, replica in itertools.product(
            ENDPOINTS, self.replicas.values()
        ):
            if replica.paused or not leases.may_order(
                replica.state,
                name,
                replica.incarnation,
                False,
                replica.read_clock(self.now_ms),
            ):
                continue
            fencing = replica.state.owners[name].fencing
            newest, until_ms = self.orders.get(name, (-1, 0))
            if fencing != newest:
                assert until_ms <= self.now_ms, "orders of two VMs overlap"
                assert fencing > newest, "a fencing token decreased"
            self.orders[name] = (fencing, self.now_ms + leases.ORDER_LIFE_MS)

    def check_evictions(self) -> None:
        """Check that an owner that may evict can see all running work.

        The load report shows work that started before the report was made.
        """
        for name, replica in itertools.product(
            ENDPOINTS, self.replicas.values()
        ):
            owned = leases.list_owned(replica.state, replica.incarnation)
            if replica.paused or name not in owned:
                continue
            now_ms = replica.read_clock(self.now_ms)
            owned_ms = now_ms - replica.state.owners[name].claimed_ms
            if owned_ms > transitions.TAKEOVER_MS and leases.may_order(
                replica.state, name, replica.incarnation, False, now_ms
            ):
                others = {
                    vm
                    for (endpoint, vm), started_ms in self.started.items()
                    if endpoint == name
                    and vm != replica.vm
                    and self.now_ms - started_ms < reports.REPORT_LAG_MS
                }
                assert not others, "a successor cannot see work of another VM"
            if leases.may_dispatch(replica.state, now_ms):
                self.started[name, replica.vm] = self.now_ms

    def teardown(self) -> None:
        """Check that each endpoint has a live owner after the faults end."""
        self.down = False
        for replica in self.replicas.values():
            replica.paused = False
        self.run_seconds(60)
        living = {item.incarnation for item in self.replicas.values()}
        assert set(self.reference.owners) == set(ENDPOINTS)
        assert {
            holder for holder, _ in self.reference.owners.values()
        } <= living


def test_one_vm_orders_under_faults():
    """Guards against two owners, no owner and replicas that disagree."""
    stateful.run_state_machine_as_test(
        OwnershipMachine,
        settings=effort.make_settings(150, stateful_step_count=30),
    )
