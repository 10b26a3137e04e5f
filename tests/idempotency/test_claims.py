"""Tests of claims, voids and the answers that callers get."""

from __future__ import annotations

from hypothesis import stateful
from idempotency import machine
import searchbounds

from bronzetrack.core import failures
from bronzetrack.idempotency import claims
from bronzetrack.idempotency import settlement
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes


def test_no_sequence_of_faults_runs_a_key_twice():
    """Guards against a second dispatch, or one after the outcome "not run".

    Appends are delayed, duplicated and dropped, their answers are lost, VMs
    pause, restart empty and trim their tables, and the log drops old records.
    """
    stateful.run_state_machine_as_test(
        machine.KeyMachine,
        settings=searchbounds.make_settings(300, stateful_step_count=50),
    )


def test_claimant_that_requested_a_void_never_dispatches(claimed, now):
    """Guards against a void that reaches the log after the dispatch."""
    claim = claims.Claim("t1", now.wall_ms, now.monotonic_ms + 1, True)
    step = claims.decide_claim(claim, claimed, True, now)
    assert step is claims.ClaimStep.WAIT


def test_claimant_without_lease_voids_its_claim(claimed, now):
    """Guards against a dispatch by an owner whose lease lapsed in a pause."""
    claim = claims.Claim("t1", now.wall_ms, now.monotonic_ms + 1)
    step = claims.decide_claim(claim, claimed, False, now)
    assert step is claims.ClaimStep.VOID


def test_reused_key_is_refused(claimed, key, now):
    """Guards against an answer that goes to a different request."""
    settled = settlement.settle_key(
        claimed, key, "other", False, False, now.wall_ms
    )
    assert settled.failure.reason is failures.Reason.KEY_REUSED


def test_repeated_request_waits_for_the_run_in_progress(claimed, key, now):
    """Guards against "in progress" before the caller's wait has expired."""
    arguments = claimed, key, "d", False
    assert settlement.settle_key(*arguments, False, now.wall_ms) is None
    settled = settlement.settle_key(*arguments, True, now.wall_ms)
    assert settled.outcome is outcomes.Outcome.IN_PROGRESS


def test_outcome_of_a_lost_claimant_is_unknown(claimed, key, now):
    """Guards against "not run" for work that may have been dispatched."""
    settled = settlement.settle_key(claimed, key, "d", True, True, now.wall_ms)
    assert settled.outcome is outcomes.Outcome.UNKNOWN


def test_table_that_has_not_caught_up_refuses_new_keys():
    """Guards against a dispatch by a VM that has not read the whole window.

    A key that is not in its table may have been claimed already.
    """
    table = tables.KeyTable(caught_up=False, log_reachable=True)
    assert settlement.check_ready(table) is not None
    assert settlement.check_ready(tables.KeyTable(0, True, False)) is not None
    assert settlement.check_ready(tables.KeyTable(0, True, True)) is None
