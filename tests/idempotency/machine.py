"""State machine of VMs that claim keys in a shared log with random faults."""

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
RETENTION_MS = 2 * keys.ACCEPTANCE_WINDOW_MS
SKEWS_MS = (0, 25_000, -25_000)

VM = strategies.integers(0, VMS - 1)
KEY = strategies.integers(0, KEYS - 1)
PICK = strategies.integers(0, 7)
APPEND_RESULTS = ("kept", "kept", "answer lost", "delayed", "dropped", "twice")
RARE = strategies.integers(0, 3).map(lambda drawn: drawn == 3)


@attrs.define
class Log:
    """All records ever appended, of which the first may be trimmed.

    :param times_ms: time at which each record was appended
    :param start: offset of the first record that can still be read
    :param in_flight: batches of delayed appends that may still arrive
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
    """State of one daemon.

    :param skew_ms: offset of its wall clock
    :param position: offset of the next record to read
    :param pending: records whose append was not confirmed
    :param claims: key and claim of each attempt that was not dispatched
    :param running: key of each dispatched attempt that has not ended
    """

    skew_ms: int
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    position: int = 0
    entries: dict[str, tables.KeyEntry] = attrs.field(factory=dict)
    pending: list[Any] = attrs.field(factory=list)
    claims: dict[str, tuple[str, claims.Claim]] = attrs.field(factory=dict)
    running: dict[str, str] = attrs.field(factory=dict)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Draws events for VMs that claim, void and settle keys."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000_000_000
        self.log = Log()
        self.vms = [Vm(skew) for skew in SKEWS_MS]
        self.issued: dict[str, keys.IdempotencyKey] = {}
        self.current_keys = [self._issue() for _ in range(KEYS)]
        self.attempts: list[tuple[str, str]] = []
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
        """Replace an expired key by a new one, as its caller would."""
        issued_ms = self.issued[self.current_keys[index]].issued_ms
        if self.now_ms > issued_ms + RETENTION_MS:
            self.current_keys[index] = self._issue()

    @stateful.rule(number=VM, index=KEY)
    def start(self, number: int, index: int) -> None:
        """Start an attempt, however late after the key was accepted."""
        vm = self.vms[number]
        key = self.current_keys[index]
        if key in vm.entries:
            return
        attempt = f"t{len(self.attempts)}"
        self.attempts.append((attempt, key))
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
        append_result=strategies.sampled_from(APPEND_RESULTS),
        count=strategies.sampled_from((99, 99, 1, 0)),
        unreachable=RARE,
        lapsed=RARE,
    )
    def work(
        self,
        number: int,
        append_result: str,
        count: int,
        unreachable: bool,
        lapsed: bool,
    ) -> None:
        """Let a VM append, read some records and advance its claims.

        A VM for which this rule is not drawn behaves as if it were paused.

        :param append_result: what happens to the append and its answer
        :param count: maximum number of records to read
        :param unreachable: whether the endpoint refuses the connection
        :param lapsed: whether the lease of the VM has lapsed
        """
        vm = self.vms[number]
        self._append(vm, append_result)
        self._read(vm, count)
        now = self.read_clock(vm)
        for attempt, (key, claim) in list(vm.claims.items()):
            entry = vm.entries.get(key)
            match claims.decide_claim(claim, entry, not lapsed, now):
                case claims.ClaimStep.DISPATCH if not unreachable:
                    del vm.claims[attempt]
                    self.dispatched.append((attempt, key))
                    vm.running[attempt] = key
                case claims.ClaimStep.DISPATCH | claims.ClaimStep.VOID:
                    self._void(vm, attempt, key, claim)
                case claims.ClaimStep.END:
                    del vm.claims[attempt]
                    outcome, _ = claims.make_end_outcome(claim, entry, now)
                    self._record_outcome(attempt, key, outcome)

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

    def _record_outcome(
        self, attempt: str, key: str, outcome: outcomes.Outcome
    ) -> None:
        if outcome is outcomes.Outcome.NOT_RUN:
            self.not_run.add(key)
        if outcome is outcomes.Outcome.REFUSED:
            self.refused.add(attempt)

    @stateful.rule(number=VM, pick=PICK)
    def finish(self, number: int, pick: int) -> None:
        """End a run with a result."""
        vm = self.vms[number]
        if not vm.running:
            return
        attempt = sorted(vm.running)[pick % len(vm.running)]
        key = vm.running.pop(attempt)
        vm.pending.append(
            records.KeyResult(key, attempt, "completed", 200, "", b"done")
        )

    @stateful.rule(number=VM, pick=PICK)
    def void_as_entry_vm(self, number: int, pick: int) -> None:
        """Void an attempt as an entry VM that lost contact with its owner.

        The owner may be another VM or the entry VM itself. Its run may be
        claiming, waiting or dispatched at that moment.
        """
        if not self.attempts:
            return
        attempt, key = self.attempts[pick % len(self.attempts)]
        vm = self.vms[number]
        issued_ms = self.issued[key].issued_ms
        vm.pending.append(
            records.KeyVoid(key, records.NOT_CLAIMANT, attempt, issued_ms)
        )

    @stateful.rule(number=VM, index=KEY, expired=strategies.booleans())
    def settle(self, number: int, index: int, expired: bool) -> None:
        """Settle a key at an entry VM and record the caller's outcome."""
        vm = self.vms[number]
        key = self.current_keys[index]
        settled = settlement.settle_key(
            vm.entries.get(key),
            self.issued[key],
            "d",
            expired,
            expired,
            self.read_clock(vm).wall_ms,
        )
        if settled is not None:
            self._record_outcome("", key, settled.outcome)

    def _append(self, vm: Vm, append_result: str) -> None:
        """Append the pending records with a drawn fault, if any."""
        batch = list(vm.pending)
        if append_result in ("kept", "answer lost", "twice"):
            self.log.append(batch, self.now_ms)
        if append_result in ("delayed", "twice"):
            self.log.in_flight.append(batch)
        if append_result == "kept":
            vm.pending.clear()

    @stateful.rule(pick=PICK)
    def deliver_append(self, pick: int) -> None:
        """Deliver a delayed append, perhaps after its sender was killed."""
        if self.log.in_flight:
            batch = self.log.in_flight.pop(pick % len(self.log.in_flight))
            self.log.append(batch, self.now_ms)

    def _read(self, vm: Vm, count: int) -> None:
        """Read some records; a VM that fell behind skips trimmed ones."""
        vm.position = max(vm.position, self.log.start)
        for record in self.log.records[vm.position :][:count]:
            entry = tables.apply_record(vm.entries, vm.position, record)
            if entry is not None:
                vm.entries[record.key] = entry
            vm.position += 1

    @stateful.rule(number=VM, killed=RARE)
    def restart(self, number: int, killed: bool) -> None:
        """Kill a VM and start an empty one in its place."""
        if killed:
            self.vms[number] = Vm(self.vms[number].skew_ms)

    @stateful.rule(
        delay_ms=strategies.sampled_from(
            (
                1_000,
                6_000,
                6_000,
                6_000,
                keys.KEY_RETENTION_MS,
                keys.ACCEPTANCE_WINDOW_MS,
            )
        )
    )
    def pass_time(self, delay_ms: int) -> None:
        """Advance the time of all VMs, and trim the tables and the log."""
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
        """Check each table against a naive reading of the log."""
        for vm in self.vms:
            wall_ms = self.read_clock(vm).wall_ms
            for key in self.current_keys:
                issued = self.issued[key]
                if keys.is_decidable(issued.issued_ms, wall_ms):
                    entry = vm.entries.get(key)
                    found = None if entry is None else entry.phase
                    seen = self.log.records[: vm.position]
                    assert found is find_phase(seen, key)


def find_phase(seen: list[Any], key: str) -> tables.KeyPhase | None:
    """Return the phase of a key from a scan of all records that were read."""
    key_records = [record for record in seen if record.key == key]
    claims_and_voids = [
        record
        for record in key_records
        if not isinstance(record, records.KeyResult)
    ]
    if not claims_and_voids:
        return None
    first = claims_and_voids[0]
    if isinstance(first, records.KeyVoid):
        return tables.KeyPhase.VOID
    for record in key_records[key_records.index(first) + 1 :]:
        if record.attempt != first.attempt:
            continue
        if isinstance(record, records.KeyResult):
            return tables.KeyPhase.ENDED
        if isinstance(record, records.KeyVoid):
            if record.incarnation == first.incarnation:
                return tables.KeyPhase.VOID
    return tables.KeyPhase.CLAIMED
