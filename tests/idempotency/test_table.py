"""Tests of the replay of the keys stream."""

from __future__ import annotations

import pytest

from bronzetrack.idempotency import records
from bronzetrack.idempotency import table as tables


@pytest.fixture
def claim() -> records.KeyClaim:
    return records.KeyClaim("k", "a", "i1", "t1", "f", 0)


@pytest.fixture
def apply():
    """Apply records in order and return the entry of the key."""

    def run(*items):
        entries: dict[str, tables.KeyEntry] = {}
        for offset, record in enumerate(items):
            entry = tables.apply_record(entries, offset, record)
            if entry is not None:
                entries[record.key] = entry
        return entries["k"]

    return run


def test_first_claim_decides(apply, claim):
    """Guards against two VMs that both dispatch work with one key."""
    other = records.KeyClaim("k", "b", "i2", "t2", "f", 0)
    assert apply(claim, other).attempt == "t1"


def test_void_before_claim_is_final(apply, claim):
    """Guards against a late claim that runs a key after "not run"."""
    void = records.KeyVoid("k", "i2", "t1", 0)
    assert apply(void, claim).phase is tables.KeyPhase.VOID


def test_void_of_other_vm_after_claim_has_no_effect(apply, claim):
    """Guards against "not run" for work that its claimant dispatches."""
    void = records.KeyVoid("k", "i2", "t1", 0)
    assert apply(claim, void).phase is tables.KeyPhase.CLAIMED


def test_claimant_may_void_its_claim(apply, claim):
    """Guards against a key in progress after its claimant gave it up."""
    void = records.KeyVoid("k", "i1", "t1", 0)
    assert apply(claim, void).phase is tables.KeyPhase.VOID


def test_void_of_entry_vm_does_not_withdraw_a_claim(apply, claim):
    """Guards against "not run" for a run at the entry VM itself."""
    void = records.KeyVoid("k", records.NOT_CLAIMANT, "t1", 0)
    assert apply(claim, void).phase is tables.KeyPhase.CLAIMED
