"""Tests of claims, voids and what callers are told of them."""

from __future__ import annotations

import effort
from hypothesis import stateful
from idempotency import machine

from bronzetrack.core import failures
from bronzetrack.idempotency import claims
from bronzetrack.idempotency import settlement
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes


def test_no_history_runs_a_key_twice():
    """Guards against a second dispatch, or one after "not run".

    Appends are delayed, doubled and dropped, their answers are lost, VMs
    pause, restart empty and trim, and the log drops what is too old.
    """
    stateful.run_state_machine_as_test(
        machine.KeyMachine,
        settings=effort.make_settings(300, stateful_step_count=50),
    )


def test_claimant_that_asked_for_a_void_never_dispatches(claimed, now):
    """Guards against a dispatch whose void arrives after it."""
    claim = claims.Claim("t1", now.wall_ms, now.monotonic_ms + 1, True)
    step = claims.decide_claim(claim, claimed, True, now)
    assert step is claims.ClaimStep.WAIT


def test_claimant_without_lease_gives_the_key_up(claimed, now):
    """Guards against a dispatch by an owner that was paused."""
    claim = claims.Claim("t1", now.wall_ms, now.monotonic_ms + 1)
    step = claims.decide_claim(claim, claimed, False, now)
    assert step is claims.ClaimStep.VOID


def test_reused_key_is_refused(claimed, key, now):
    """Guards against the answer of one request given to another."""
    settled = settlement.settle_key(
        claimed, key, "other", False, False, now.wall_ms
    )
    assert settled.failure.reason is failures.Reason.KEY_REUSED


def test_resend_waits_for_the_run_in_progress(claimed, key, now):
    """Guards against a caller told to come back while it could wait."""
    arguments = claimed, key, "d", False
    assert settlement.settle_key(*arguments, False, now.wall_ms) is None
    settled = settlement.settle_key(*arguments, True, now.wall_ms)
    assert settled.outcome is outcomes.Outcome.IN_PROGRESS


def test_result_of_a_claimant_that_is_gone_is_unknown(claimed, key, now):
    """Guards against "not run" for work that may have been dispatched."""
    settled = settlement.settle_key(claimed, key, "d", True, True, now.wall_ms)
    assert settled.outcome is outcomes.Outcome.UNKNOWN


def test_table_that_is_behind_refuses_new_keys():
    """Guards against a VM that has not read the whole window."""
    table = tables.KeyTable(caught_up=False, log_reachable=True)
    assert settlement.check_ready(table) is not None
    assert settlement.check_ready(tables.KeyTable(0, True, False)) is not None
    assert settlement.check_ready(tables.KeyTable(0, True, True)) is None
