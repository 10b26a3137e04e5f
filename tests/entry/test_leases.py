"""Tests of the lease of the VM that gives orders."""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bronzetrack.entry import leases

TTL_S = 3.0
RELEASED = "released"
RANKS = [
    leases.StepConditions(rank=rank, engines_check_tokens=True)
    for rank in range(4)
]
LEAVING = leases.StepConditions(
    stopping=True, engines_check_tokens=True, has_successor=True
)
SILENT = leases.StepConditions(engines_check_tokens=True, holder_silent=True)


def test_candidate_waits_for_the_whole_lease(now):
    """Guards against two holders at once."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.update_end(7, "other", now)
    step, due = leases.decide_step(lease, RANKS[0], now + 0.9 * TTL_S)
    assert step is leases.Step.WAIT
    assert due > now + TTL_S
    step, _ = leases.decide_step(lease, RANKS[0], due)
    assert step is leases.Step.APPEND


def test_lease_starts_when_the_call_was_sent(now):
    """Guards against a holder that was paused until its renewal's answer."""
    lease = leases.Lease(TTL_S)
    lease.apply_renewal(4, now, "me")
    assert lease.token == 5
    assert not lease.is_held(now + TTL_S)


def test_stopping_holder_does_not_renew(now):
    """Guards against a VM that renews the lease and then stops."""
    lease = leases.Lease(TTL_S)
    lease.apply_renewal(4, now, "me")
    stopping = leases.StepConditions(stopping=True)
    step, _ = leases.decide_step(lease, stopping, now + 0.5 * TTL_S)
    assert step is leases.Step.WAIT


def test_stopping_holder_releases_a_lease_with_token_checks(now):
    """Guards against seconds without loads around a planned stop."""
    lease = leases.Lease(TTL_S)
    lease.apply_renewal(4, now, "me")
    step, _ = leases.decide_step(lease, LEAVING, now)
    assert step is leases.Step.RELEASE
    lease.relinquish()
    assert not lease.is_held(now)
    step, _ = leases.decide_step(lease, LEAVING, now)
    assert step is leases.Step.WAIT


def test_lease_is_kept_to_its_end_without_token_checks(now):
    """Guards against an engine that accepts the orders of two holders."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.update_end(7, "other", now, released=True)
    without_checks = leases.StepConditions(holder_silent=True)
    step, due = leases.decide_step(lease, without_checks, now + 0.9 * TTL_S)
    assert step is leases.Step.WAIT
    assert due > now + TTL_S


def test_silent_holder_is_succeeded_after_a_missed_renewal(now):
    """Guards against three seconds without loads after a holder froze.

    Reproduces incident kst-launchlog bd26: two holders froze in turn.
    """
    lease = leases.Lease(TTL_S, checked=True)
    lease.update_end(7, "other", now)
    step, due = leases.decide_step(lease, SILENT, now)
    assert step is leases.Step.WAIT
    assert TTL_S * leases.RENEW_AFTER < due - now < 0.7 * TTL_S


def test_holder_that_cannot_renew_reports_the_lapse(now):
    """Guards against waiting for a holder that cannot reach the store."""
    lease = leases.Lease(TTL_S)
    lease.apply_renewal(4, now, "me")
    assert not lease.mark_lapsed(now + 0.5 * TTL_S)
    assert lease.mark_lapsed(now + 0.9 * TTL_S)
    assert lease.released
    assert not lease.mark_lapsed(now + 0.9 * TTL_S)


def test_candidates_take_a_released_lease_by_rank(now):
    """Guards against waiting for a holder that announced its stop."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.update_end(7, "", now, released=True)
    assert leases.decide_step(lease, RANKS[0], now)[0] is leases.Step.APPEND
    step, due = leases.decide_step(lease, RANKS[1], now)
    assert step is leases.Step.WAIT
    assert due < now + TTL_S / 2


def test_candidate_waits_again_for_a_record_after_a_release(now):
    """Guards against two holders after a lease was released and taken."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.update_end(7, "", now, released=True)
    lease.update_end(8, "other", now)
    step, due = leases.decide_step(lease, RANKS[0], now)
    assert step is leases.Step.WAIT
    assert due > now + TTL_S


def test_later_candidates_wait_longer(now):
    """Guards against all candidates appending at the same moment."""
    lease = leases.Lease(TTL_S, checked=True)
    lease.update_end(7, "other", now)
    first = leases.decide_step(lease, RANKS[0], now)[1]
    second = leases.decide_step(lease, RANKS[1], now)[1]
    assert second > first


def test_restarted_holder_takes_the_lease_at_once(now):
    """Guards against seconds without loads after all VMs were killed.

    An earlier run of this VM, which has ended, appended the last record. A
    conditional append still fails if another VM appended in between.
    """
    lease = leases.Lease(TTL_S)
    lease.update_end(7, "", now)
    assert leases.decide_step(lease, RANKS[3], now)[0] is leases.Step.READ
    lease.apply_last_record(7, True, False, now)
    assert leases.decide_step(lease, RANKS[3], now)[0] is leases.Step.APPEND


def test_restarted_holder_reads_the_record_after_a_heartbeat(now):
    """Guards against a VM that waits for its own lease after all restarted.

    Reproduces papyros-fw trouble-1: a heartbeat reported the end of the log
    before the VM's own append met a conflict, so that the VM never read the
    last record.
    """
    lease = leases.Lease(TTL_S)
    assert leases.decide_step(lease, RANKS[0], now)[0] is leases.Step.APPEND
    lease.update_end(7, "", now)
    step, _ = leases.decide_step(lease, RANKS[0], now + 0.1)
    assert step is leases.Step.READ
    lease.apply_last_record(7, True, False, now + 0.1)
    step, _ = leases.decide_step(lease, RANKS[0], now + 0.1)
    assert step is leases.Step.APPEND


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Checks the lease under lost answers, pauses and restarts of VMs.

    Two VMs hold the lease at once only if a holder counted as silent, and
    tokens always rise.
    """

    vms = 3

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.records: list[str] = []
        self.leases = [leases.Lease(TTL_S) for _ in range(self.vms)]
        self.last_token = 0
        self.overlap_allowed = False

    @stateful.rule(seconds=strategies.floats(0.01, 4.0))
    def pass_time(self, seconds: float) -> None:
        """Advance the time for all VMs, including paused ones."""
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
        """Let a VM decide and carry out its next step."""
        lease = self.leases[vm]
        lease.mark_lapsed(self.now)
        conditions = leases.StepConditions(vm, stopping, True, True, silent)
        step, _ = leases.decide_step(lease, conditions, self.now)
        reachable = attrs.evolve(conditions, holder_silent=False)
        if step is not leases.decide_step(lease, reachable, self.now)[0]:
            # The former holder may be paused until its lease has lapsed.
            self.overlap_allowed = True
        match step:
            case leases.Step.READ if answered:
                lease.apply_last_record(
                    len(self.records),
                    self.records[-1] == str(vm),
                    self.records[-1] == RELEASED,
                    self.now,
                )
            case leases.Step.RELEASE:
                lease.relinquish()
                if self._append(lease, RELEASED, answered, took):
                    end = len(self.records)
                    lease.update_end(end, "", self.now, released=True)
            case leases.Step.APPEND:
                sent_at = self.now
                if self._append(lease, str(vm), answered, took):
                    offset = len(self.records) - 1
                    lease.apply_renewal(offset, sent_at, str(vm))
                    self._check_token(lease)

    def _append(
        self, lease: leases.Lease, record: str, answered: bool, took: float
    ) -> bool:
        """Append conditionally; return whether the VM knows of its success."""
        if max(0, lease.end) != len(self.records):
            if answered:
                lease.update_end(len(self.records), "", self.now + took)
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
        """Kill a VM and start it again without any state."""
        self.leases[vm] = leases.Lease(TTL_S)

    @stateful.rule(
        sender=strategies.integers(0, vms - 1),
        receiver=strategies.integers(0, vms - 1),
    )
    def gossip(self, sender: int, receiver: int) -> None:
        """Deliver a heartbeat from one VM to another."""
        source = self.leases[sender]
        self.leases[receiver].update_end(
            source.end, source.holder, self.now, source.released
        )

    @stateful.invariant()
    def check_single_holder(self) -> None:
        """At most one VM gives orders, unless a holder counted as silent.

        Two holders at once have different tokens.
        """
        held = [item for item in self.leases if item.is_held(self.now)]
        assert len(held) <= 1 or self.overlap_allowed
        assert len({item.token for item in held}) == len(held)


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)
TestLeaseMachine = LeaseMachine.TestCase
