"""Claimants of a few keys that share a log with drawn faults."""

from __future__ import annotations

from typing import Any
import uuid

import attrs
from hypothesis import stateful
from hypothesis import strategies

from bronzetrack.core import clock
from bronzetrack.idempotency import claims
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import records
from bronzetrack.idempotency import settlement
from bronzetrack.idempotency import table as tables
from bronzetrack.streaming import outcomes

KEYS = 2
VMS = 3
RETENTION_MS = 2 * keys.WINDOW_MS
SKEWS_MS = (0, 25_000, -25_000)

VM = strategies.integers(0, VMS - 1)
KEY = strategies.integers(0, KEYS - 1)
PICK = strategies.integers(0, 7)
FATES = ("kept", "kept", "answer lost", "delayed", "dropped", "twice")
RARE = strategies.integers(0, 3).map(lambda drawn: drawn == 3)


@attrs.define
class Log:
    """All records ever appended; the first ones may be out of reach.

    :param in_flight: appends that may still arrive
    """

    records: list[Any] = attrs.field(factory=list)
    times_ms: list[int] = attrs.field(factory=list)
    start: int = 0
    in_flight: list[list[Any]] = attrs.field(factory=list)

    def append(self, items: list[Any], now_ms: int) -> None:
        self.records += items
        self.times_ms += [now_ms] * len(items)


@attrs.define
class Vm:
    """One daemon: its table, its unconfirmed appends and its claims."""

    skew_ms: int
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    position: int = 0
    entries: dict[str, tables.KeyEntry] = attrs.field(factory=dict)
    pending: list[Any] = attrs.field(factory=list)
    claims: dict[str, tuple[str, claims.Claim]] = attrs.field(factory=dict)
    running: dict[str, str] = attrs.field(factory=dict)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Draws what happens to VMs that claim, void and settle keys."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000_000_000
        self.log = Log()
        self.vms = [Vm(skew) for skew in SKEWS_MS]
        self.issued: dict[str, keys.IdempotencyKey] = {}
        self.current = [self._issue() for _ in range(KEYS)]
        self.names: list[tuple[str, str]] = []
        self.dispatched: list[tuple[str, str]] = []
        self.not_run: set[str] = set()
        self.refused: set[str] = set()

    def _issue(self) -> str:
        name = f"k{len(self.issued)}"
        self.issued[name] = keys.IdempotencyKey(name, self.now_ms)
        return name

    def read_clock(self, vm: Vm) -> clock.Instant:
        return clock.Instant(self.now_ms, self.now_ms + vm.skew_ms)

    @stateful.rule(index=KEY)
    def issue(self, index: int) -> None:
        """A caller gives up an expired key."""
        issued_ms = self.issued[self.current[index]].issued_ms
        if self.now_ms > issued_ms + RETENTION_MS:
            self.current[index] = self._issue()

    @stateful.rule(number=VM, index=KEY)
    def start(self, number: int, index: int) -> None:
        """A run begins, however late after the key was accepted."""
        vm = self.vms[number]
        key = self.current[index]
        if key in vm.entries:
            return
        attempt = f"t{len(self.names)}"
        self.names.append((attempt, key))
        issued_ms = self.issued[key].issued_ms
        deadline_ms = self.now_ms + claims.CLAIM_TIMEOUT_MS
        claim = claims.Claim(attempt, issued_ms, deadline_ms)
        vm.claims[attempt] = key, claim
        vm.pending.append(
            records.KeyClaim(
                key, str(number), vm.incarnation, attempt, "d", issued_ms
            )
        )

    @stateful.rule(
        number=VM,
        fate=strategies.sampled_from(FATES),
        count=strategies.sampled_from((99, 99, 1, 0)),
        unreached=RARE,
        lapsed=RARE,
    )
    def work(
        self, number: int, fate: str, count: int, unreached: bool, lapsed: bool
    ) -> None:
        """A VM that is not paused appends, reads some records and acts.

        :param unreached: whether the endpoint refuses the connection
        :param lapsed: whether the lease of the VM has lapsed
        """
        vm = self.vms[number]
        self._append(vm, fate)
        self._read(vm, count)
        now = self.read_clock(vm)
        for attempt, (key, claim) in list(vm.claims.items()):
            entry = vm.entries.get(key)
            match claims.decide_claim(claim, entry, not lapsed, now):
                case claims.ClaimStep.DISPATCH if not unreached:
                    del vm.claims[attempt]
                    self.dispatched.append((attempt, key))
                    vm.running[attempt] = key
                case claims.ClaimStep.DISPATCH | claims.ClaimStep.VOID:
                    self._void(vm, attempt, key, claim)
                case claims.ClaimStep.END:
                    del vm.claims[attempt]
                    outcome, _ = claims.describe_end(claim, entry, now)
                    self._note_outcome(attempt, key, outcome)

    def _void(
        self, vm: Vm, attempt: str, key: str, claim: claims.Claim
    ) -> None:
        deadline_ms = self.now_ms + claims.CLAIM_TIMEOUT_MS
        vm.claims[attempt] = key, attrs.evolve(
            claim, voiding=True, deadline_ms=deadline_ms
        )
        vm.pending = [
            item
            for item in vm.pending
            if not isinstance(item, records.KeyClaim)
            or item.attempt != attempt
        ]
        vm.pending.append(
            records.KeyVoid(key, vm.incarnation, attempt, claim.issued_ms)
        )

    def _note_outcome(
        self, attempt: str, key: str, outcome: outcomes.Outcome
    ) -> None:
        if outcome is outcomes.Outcome.NOT_RUN:
            self.not_run.add(key)
        if outcome is outcomes.Outcome.REFUSED:
            self.refused.add(attempt)

    @stateful.rule(number=VM, pick=PICK)
    def finish(self, number: int, pick: int) -> None:
        """A run ends with a result."""
        vm = self.vms[number]
        if not vm.running:
            return
        attempt = sorted(vm.running)[pick % len(vm.running)]
        key = vm.running.pop(attempt)
        vm.pending.append(
            records.KeyResult(key, attempt, "completed", 200, "", b"done")
        )

    @stateful.rule(number=VM, pick=PICK)
    def lose_owner(self, number: int, pick: int) -> None:
        """An entry VM voids an attempt that it gave to another VM or itself.

        Its own run may claim, wait or be dispatched at that moment.
        """
        if not self.names:
            return
        attempt, key = self.names[pick % len(self.names)]
        vm = self.vms[number]
        issued_ms = self.issued[key].issued_ms
        vm.pending.append(
            records.KeyVoid(key, records.NOT_CLAIMANT, attempt, issued_ms)
        )

    @stateful.rule(number=VM, index=KEY, expired=strategies.booleans())
    def settle(self, number: int, index: int, expired: bool) -> None:
        """An entry VM tells its caller what the log says."""
        vm = self.vms[number]
        key = self.current[index]
        settled = settlement.settle_key(
            vm.entries.get(key),
            self.issued[key],
            "d",
            expired,
            expired,
            self.read_clock(vm).wall_ms,
        )
        if settled is not None:
            self._note_outcome("", key, settled.outcome)

    def _append(self, vm: Vm, fate: str) -> None:
        """Append with what becomes of the records and of the answer."""
        batch = list(vm.pending)
        if fate in ("kept", "answer lost", "twice"):
            self.log.append(batch, self.now_ms)
        if fate in ("delayed", "twice"):
            self.log.in_flight.append(batch)
        if fate == "kept":
            vm.pending.clear()

    @stateful.rule(pick=PICK)
    def land(self, pick: int) -> None:
        """A delayed append arrives, perhaps after its sender is gone."""
        if self.log.in_flight:
            batch = self.log.in_flight.pop(pick % len(self.log.in_flight))
            self.log.append(batch, self.now_ms)

    def _read(self, vm: Vm, count: int) -> None:
        """Read some records; a VM that fell behind skips the lost ones."""
        vm.position = max(vm.position, self.log.start)
        for record in self.log.records[vm.position :][:count]:
            entry = tables.apply_record(vm.entries, vm.position, record)
            if entry is not None:
                vm.entries[record.key] = entry
            vm.position += 1

    @stateful.rule(number=VM, killed=RARE)
    def restart(self, number: int, killed: bool) -> None:
        """A VM is killed and another one starts empty in its place."""
        if killed:
            self.vms[number] = Vm(self.vms[number].skew_ms)

    @stateful.rule(
        delay_ms=strategies.sampled_from(
            (1_000, 6_000, 6_000, 6_000, keys.KEPT_MS, keys.WINDOW_MS)
        )
    )
    def pass_time(self, delay_ms: int) -> None:
        """Time passes, for paused VMs too; tables and the log shrink."""
        self.now_ms += delay_ms
        for vm in self.vms:
            wall_ms = self.read_clock(vm).wall_ms
            vm.entries = tables.trim_entries(vm.entries, wall_ms)
        oldest_ms = self.now_ms - RETENTION_MS
        self.log.start = sum(
            time_ms < oldest_ms for time_ms in self.log.times_ms
        )

    @stateful.invariant()
    def check_one_dispatch(self) -> None:
        ran = [key for _, key in self.dispatched]
        assert len(ran) == len(set(ran)), self.dispatched

    @stateful.invariant()
    def check_not_run(self) -> None:
        assert not self.not_run & {key for _, key in self.dispatched}

    @stateful.invariant()
    def check_refused(self) -> None:
        assert not self.refused & {attempt for attempt, _ in self.dispatched}

    @stateful.invariant()
    def check_phases(self) -> None:
        """Each table agrees with a naive reading of the whole log."""
        for vm in self.vms:
            wall_ms = self.read_clock(vm).wall_ms
            for key in self.current:
                issued = self.issued[key]
                if keys.is_decidable(issued.issued_ms, wall_ms):
                    entry = vm.entries.get(key)
                    found = None if entry is None else entry.phase
                    seen = self.log.records[: vm.position]
                    assert found is find_phase(seen, key)


def find_phase(seen: list[Any], key: str) -> tables.KeyPhase | None:
    """Return the phase of a key, found by looking at all its records."""
    mine = [record for record in seen if record.key == key]
    decisive = [
        record for record in mine if not isinstance(record, records.KeyResult)
    ]
    if not decisive:
        return None
    first = decisive[0]
    if isinstance(first, records.KeyVoid):
        return tables.KeyPhase.VOID
    for record in mine[mine.index(first) + 1 :]:
        if record.attempt != first.attempt:
            continue
        if isinstance(record, records.KeyResult):
            return tables.KeyPhase.ENDED
        if isinstance(record, records.KeyVoid):
            if record.incarnation == first.incarnation:
                return tables.KeyPhase.VOID
    return tables.KeyPhase.CLAIMED
