"""Lease of the VM that gives orders."""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bronzetrack.entry import leases

TTL_S = 3.0
RELEASED = "released"
RANKS = [leases.Situation(rank=rank, fenced=True) for rank in range(4)]
LEAVING = leases.Situation(stopping=True, fenced=True, has_successor=True)
SILENT = leases.Situation(fenced=True, holder_silent=True)


def test_candidate_waits_for_the_whole_lease(now):
    """Guards against two holders at once."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.note_end(7, "other", now)
    step, due = leases.decide_step(lease, RANKS[0], now + 0.9 * TTL_S)
    assert step is leases.Step.WAIT
    assert due > now + TTL_S
    step, _ = leases.decide_step(lease, RANKS[0], due)
    assert step is leases.Step.APPEND


def test_lease_counts_from_when_the_call_was_sent(now):
    """Guards against a holder that slept while its renewal was answered."""
    lease = leases.Lease(TTL_S)
    lease.note_renewed(4, now, "me")
    assert lease.token == 5
    assert not lease.is_held(now + TTL_S)


def test_stopping_holder_does_not_renew(now):
    """Guards against a VM that leaves with the lease."""
    lease = leases.Lease(TTL_S)
    lease.note_renewed(4, now, "me")
    stopping = leases.Situation(stopping=True)
    step, _ = leases.decide_step(lease, stopping, now + 0.5 * TTL_S)
    assert step is leases.Step.WAIT


def test_stopping_holder_releases_a_lease_that_engines_check(now):
    """Guards against seconds without loads around a planned stop."""
    lease = leases.Lease(TTL_S)
    lease.note_renewed(4, now, "me")
    step, _ = leases.decide_step(lease, LEAVING, now)
    assert step is leases.Step.RELEASE
    lease.give_up()
    assert not lease.is_held(now)
    step, _ = leases.decide_step(lease, LEAVING, now)
    assert step is leases.Step.WAIT


def test_lease_is_kept_to_its_end_where_engines_check_nothing(now):
    """Guards against two holders whose orders an engine takes together."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.note_end(7, "other", now, released=True)
    unchecked = leases.Situation(holder_silent=True)
    step, due = leases.decide_step(lease, unchecked, now + 0.9 * TTL_S)
    assert step is leases.Step.WAIT
    assert due > now + TTL_S


def test_silent_holder_is_succeeded_after_a_missed_renewal(now):
    """Guards against three seconds without loads after a frozen holder.

    Replays the incident kst-launchlog bd26: two holders stood still in turn.
    """
    lease = leases.Lease(TTL_S, checked=True)
    lease.note_end(7, "other", now)
    step, due = leases.decide_step(lease, SILENT, now)
    assert step is leases.Step.WAIT
    assert TTL_S * leases.RENEW_AFTER < due - now < 0.7 * TTL_S


def test_holder_that_cannot_renew_says_so(now):
    """Guards against candidates that wait for a holder cut from the store."""
    lease = leases.Lease(TTL_S)
    lease.note_renewed(4, now, "me")
    assert not lease.note_lapse(now + 0.5 * TTL_S)
    assert lease.note_lapse(now + 0.9 * TTL_S)
    assert lease.released
    assert not lease.note_lapse(now + 0.9 * TTL_S)


def test_candidates_take_a_released_lease_in_their_order(now):
    """Guards against waiting for a holder that said that it stopped."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.note_end(7, "", now, released=True)
    assert leases.decide_step(lease, RANKS[0], now)[0] is leases.Step.APPEND
    step, due = leases.decide_step(lease, RANKS[1], now)
    assert step is leases.Step.WAIT
    assert due < now + TTL_S / 2


def test_record_after_a_release_is_waited_for_again(now):
    """Guards against two holders after a lease was released and taken."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.note_end(7, "", now, released=True)
    lease.note_end(8, "other", now)
    step, due = leases.decide_step(lease, RANKS[0], now)
    assert step is leases.Step.WAIT
    assert due > now + TTL_S


def test_later_candidates_wait_longer(now):
    """Guards against all candidates appending at the same moment."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.note_end(7, "other", now)
    first = leases.decide_step(lease, RANKS[0], now)[1]
    second = leases.decide_step(lease, RANKS[1], now)[1]
    assert second > first


def test_restarted_holder_goes_on_at_once(now):
    """Guards against seconds without loads after all VMs were killed.

    The last record is of this VM: its earlier run is over, and a conditional
    append still loses against any other VM.
    """
    lease = leases.Lease(TTL_S)
    lease.note_end(7, "", now)
    assert leases.decide_step(lease, RANKS[3], now)[0] is leases.Step.READ
    lease.note_last(7, True, False, now)
    assert leases.decide_step(lease, RANKS[3], now)[0] is leases.Step.APPEND


def test_restarted_holder_that_hears_the_end_first_goes_on_at_once(now):
    """Guards against a wait for its own lease after all VMs restarted.

    Replays papyros-fw trouble-1: a heartbeat told the end of the log before
    the VM's own append had met a conflict, so that nothing read the record.
    """
    lease = leases.Lease(TTL_S)
    assert leases.decide_step(lease, RANKS[0], now)[0] is leases.Step.APPEND
    lease.note_end(7, "", now)
    step, _ = leases.decide_step(lease, RANKS[0], now + 0.1)
    assert step is leases.Step.READ
    lease.note_last(7, True, False, now + 0.1)
    step, _ = leases.decide_step(lease, RANKS[0], now + 0.1)
    assert step is leases.Step.APPEND


class LeaseMachine(stateful.RuleBasedStateMachine):
    """VMs with clocks of their own rate, lost answers, pauses and restarts.

    However answers are lost and VMs sleep, no two believe to hold the lease
    unless one was taken for silent, and tokens rise.
    """

    vms = 3

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.records: list[str] = []
        self.leases = [leases.Lease(TTL_S) for _ in range(self.vms)]
        self.last_token = 0
        self.overlaps = False

    @stateful.rule(seconds=strategies.floats(0.01, 4.0))
    def pass_time(self, seconds: float) -> None:
        """Time passes for all, also for those that sleep."""
        self.now += seconds

    @stateful.rule(
        vm=strategies.integers(0, vms - 1),
        stopping=strategies.booleans(),
        silent=strategies.booleans(),
        answered=strategies.booleans(),
        took=strategies.floats(0.0, 1.0),
    )
    def decide(
        self,
        vm: int,
        stopping: bool,
        silent: bool,
        answered: bool,
        took: float,
    ) -> None:
        """A VM acts on what it knows."""
        lease = self.leases[vm]
        lease.note_lapse(self.now)
        situation = leases.Situation(vm, stopping, True, True, silent)
        step, _ = leases.decide_step(lease, situation, self.now)
        calm = attrs.evolve(situation, holder_silent=False)
        if step is not leases.decide_step(lease, calm, self.now)[0]:
            # The former holder may sleep until its time has passed.
            self.overlaps = True
        match step:
            case leases.Step.READ if answered:
                lease.note_last(
                    len(self.records),
                    self.records[-1] == str(vm),
                    self.records[-1] == RELEASED,
                    self.now,
                )
            case leases.Step.RELEASE:
                lease.give_up()
                if self._append(lease, RELEASED, answered, took):
                    end = len(self.records)
                    lease.note_end(end, "", self.now, released=True)
            case leases.Step.APPEND:
                sent_at = self.now
                if self._append(lease, str(vm), answered, took):
                    offset = len(self.records) - 1
                    lease.note_renewed(offset, sent_at, str(vm))
                    self._check_token(lease)

    def _append(
        self, lease: leases.Lease, record: str, answered: bool, took: float
    ) -> bool:
        """Append on a condition; return whether the VM knows that it did."""
        if max(0, lease.end) != len(self.records):
            if answered:
                lease.note_end(len(self.records), "", self.now + took)
            return False
        self.records.append(record)
        if answered:
            self.now += took
        return answered

    def _check_token(self, lease: leases.Lease) -> None:
        if lease.is_held(self.now):
            assert lease.token > self.last_token
            self.last_token = lease.token

    @stateful.rule(vm=strategies.integers(0, vms - 1))
    def restart(self, vm: int) -> None:
        """A VM is killed and starts again, knowing nothing."""
        self.leases[vm] = leases.Lease(TTL_S)

    @stateful.rule(
        teller=strategies.integers(0, vms - 1),
        told=strategies.integers(0, vms - 1),
    )
    def gossip(self, teller: int, told: int) -> None:
        """A heartbeat arrives."""
        source = self.leases[teller]
        self.leases[told].note_end(
            source.end, source.holder, self.now, source.released
        )

    @stateful.invariant()
    def hold_one(self) -> None:
        """At most one VM may give orders, or engines tell them apart."""
        held = [item for item in self.leases if item.is_held(self.now)]
        assert len(held) <= 1 or self.overlaps
        assert len({item.token for item in held}) == len(held)


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)
TestLeaseMachine = LeaseMachine.TestCase
