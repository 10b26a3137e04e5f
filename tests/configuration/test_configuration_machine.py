"""Tests of the configuration on several replicas with faults of the log."""

from __future__ import annotations

import attrs
from configuration import reference
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import searchbounds

from bronzetrack.configuration import records
from bronzetrack.configuration import replay
from bronzetrack.configuration import state as states
from bronzetrack.configuration import transfer
from bronzetrack.core import failures
from bronzetrack.wire import documents

VMS = ("a", "b", "c")
SOME_VM = strategies.sampled_from(VMS)
ADAPTER = strategies.fixed_dictionaries(
    {
        "owner": strategies.sampled_from(["m1", "m2"]),
        "base_model": strategies.just("base"),
        "versions": strategies.just(["1", "2"]),
        "current": strategies.sampled_from(["1", "2", "3"]),
    }
)
ENDPOINT = strategies.just(
    {
        "host": "10.0.0.1",
        "port": 1,
        "availability_zone": "z",
        "base_model": "base",
    }
)
WHOLE = {
    "members": ["m1"],
    "base_models": ["base"],
    "adapters": {},
    "endpoints": {
        "e1": {
            "host": "10.0.0.1",
            "port": 1,
            "availability_zone": "z",
            "base_model": "base",
        }
    },
    "services": {
        "s1": {"owner": "m1", "prefix": "/services/s", "endpoints": ["e1"]}
    },
}
DELTA = strategies.one_of(
    strategies.fixed_dictionaries(
        {
            "adapters": strategies.dictionaries(
                strategies.sampled_from(["x", "y"]),
                strategies.none() | ADAPTER,
                min_size=1,
            )
        }
    ),
    strategies.fixed_dictionaries(
        {
            "endpoints": strategies.dictionaries(
                strategies.sampled_from(["e1", "e2"]),
                strategies.none() | ENDPOINT,
                min_size=1,
            )
        }
    ),
    strategies.fixed_dictionaries(
        {"members": strategies.sampled_from([["m1"], ["m1", "m2"], []])}
    ),
)


@attrs.define
class Replica:
    state: states.ConfigurationState = attrs.field(
        factory=states.ConfigurationState
    )
    highest: int = -1


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Draws faults and compares each replica with the reference replay."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.history: list[object] = []
        self.reference = reference.Replay()
        self.start = 0
        self.down = False
        self.delayed_records: list[object] = []
        self.answers: list[tuple[str, bytes, int]] = []
        self.tokens = 0
        self.replicas = {vm: Replica() for vm in VMS}
        self.append(
            records.PublicationRecord("inventory", -1, WHOLE, token="0")
        )
        self.read_all(list(VMS))

    def append(self, record: object, late: bool = False) -> None:
        if late:
            self.delayed_records.append(record)
        elif not self.down:
            self.history.append(record)
            self.reference.add(record)

    def read(self, vm: str, count: int, reread_count: int = 0) -> None:
        replica = self.replicas[vm]
        if self.down:
            replica.state = replay.record_failed_read(replica.state)
            return
        first = max(self.start, replica.state.next_offset - reread_count)
        items = self.history[first : first + count + reread_count]
        replica.state = replay.apply_batch(
            replica.state,
            self.start,
            len(self.history),
            enumerate(items, first),
            documents,
            self.now_ms,
        )
        self.check(replica)

    def read_all(self, vms: list[str]) -> None:
        for vm in vms:
            self.read(vm, len(self.history))

    def append_snapshot(self, vm: str, late: bool) -> None:
        state = self.replicas[vm].state
        if not replay.is_snapshot_due(state, VMS.index(vm), self.now_ms):
            return
        found = state.configuration
        self.append(
            records.SnapshotRecord(
                found.offset,
                state.next_offset,
                b"".join(documents.encode_configuration(found)),
            ),
            late,
        )

    @stateful.rule(
        vms=strategies.permutations(VMS), late=strategies.booleans()
    )
    def read_and_copy(self, vms: list[str], late: bool) -> None:
        self.now_ms += 5_000
        self.read_all(vms)
        for vm in vms:
            self.append_snapshot(vm, late)

    @stateful.rule(
        vm=SOME_VM,
        count=strategies.integers(0, 4),
        reread_count=strategies.integers(0, 3),
    )
    def read_some(self, vm: str, count: int, reread_count: int) -> None:
        self.read(vm, count, reread_count)

    @stateful.rule(vm=SOME_VM, delta=DELTA, late=strategies.booleans())
    def publish(self, vm: str, delta: dict, late: bool) -> None:
        """Publish a change based on the configuration of one replica."""
        self.tokens += 1
        base = self.replicas[vm].state.configuration.offset
        record = records.PublicationRecord(
            "inventory", base, delta, delta=True, token=str(self.tokens)
        )
        self.append(record, late)

    @stateful.rule(base=strategies.integers(-1, 20))
    def publish_whole(self, base: int) -> None:
        record = records.PublicationRecord("inventory", base, WHOLE)
        self.append(record)

    @stateful.precondition(lambda self: self.delayed_records and not self.down)
    @stateful.rule(data=strategies.data())
    def take_late(self, data: strategies.DataObject) -> None:
        """Append a delayed record, which may be appended again later."""
        index = data.draw(
            strategies.integers(0, len(self.delayed_records) - 1)
        )
        self.append(self.delayed_records[index])
        if data.draw(strategies.booleans()):
            del self.delayed_records[index]

    @stateful.rule(vm=SOME_VM, peer=SOME_VM)
    def send_configuration(self, vm: str, peer: str) -> None:
        state = self.replicas[peer].state
        offset = state.configuration.offset
        if state.complete and offset != states.NO_OFFSET:
            data = b"".join(
                documents.encode_configuration(state.configuration)
            )
            self.answers.append((vm, data, state.next_offset))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=strategies.data())
    def receive_configuration(self, data: strategies.DataObject) -> None:
        index = data.draw(strategies.integers(0, len(self.answers) - 1))
        vm, encoded, through = self.answers.pop(index)
        replica = self.replicas[vm]
        found = documents.decode_configuration(encoded)
        assert not isinstance(found, failures.Failure)
        replica.state = replay.adopt_configuration(
            replica.state, found, through
        )
        self.check(replica)

    @stateful.rule(vm=SOME_VM)
    def restart_empty(self, vm: str) -> None:
        self.replicas[vm] = Replica()

    @stateful.rule()
    def begin_or_end_outage(self) -> None:
        self.down = not self.down

    @stateful.rule(kept=strategies.integers(0, 6))
    def truncate(self, kept: int) -> None:
        self.start = max(self.start, len(self.history) - kept)

    def check(self, replica: Replica) -> None:
        """Compare a replica with the reference replay at the same offset.

        The state of an incomplete replica may be older than the reference.
        """
        state = replica.state
        assert (
            state.configuration.offset >= replica.highest
        ), "the configuration went back to an older offset"
        replica.highest = state.configuration.offset
        expected_offset, expected_documents = self.reference.history[
            state.next_offset
        ]
        if state.complete:
            assert state.configuration.offset == expected_offset
        else:
            assert state.configuration.offset <= expected_offset
            expected_offset, expected_documents = self.reference.history[
                state.configuration.offset + 1
            ]
        if expected_offset >= 0:
            inventory = documents.read_document(
                "inventory", expected_documents["inventory"]
            )
            assert state.configuration.inventory == inventory
        accepted = {
            offset
            for offset, (after, _) in enumerate(self.reference.history[1:])
            if after == offset
        }
        for verdict in state.verdicts:
            assert verdict.accepted == (verdict.offset in accepted)

    def teardown(self) -> None:
        """Check that all replicas converge once one of them is complete."""
        self.down = False
        self.read_all(list(VMS))
        complete = [vm for vm in VMS if self.replicas[vm].state.complete]
        if not complete:
            return
        for _ in range(4):
            self.read_and_copy(list(VMS), False)
        for replica in self.replicas.values():
            assert replica.state.complete
            assert replica.state.configuration.offset == self.reference.offset


def test_replicas_agree_under_faults():
    """Guards against replicas that disagree, revert or lose the snapshot."""
    stateful.run_state_machine_as_test(
        ConfigurationMachine,
        settings=searchbounds.make_settings(150, stateful_step_count=30),
    )


@hypothesis.given(
    data=strategies.binary(max_size=40), size=strategies.integers(1, 9)
)
def test_transfer_restores_parts_in_any_order(data, size):
    """Guards against joining parts of two senders or in the wrong order."""
    state = states.ConfigurationState(next_offset=7)
    before = transfer.PART_BYTES
    transfer.PART_BYTES = size
    try:
        parts = transfer.split_configuration(state, data)
    finally:
        transfer.PART_BYTES = before
    collected = None
    for part in reversed(parts):
        collected = transfer.add_part(collected, "a", part)
    if parts:
        assert collected.data == data
        assert transfer.add_part(collected, "b", parts[0]).sender == "b"


def test_stale_snapshot_starts_no_replay():
    """Guards against a replay that misses a publication forever.

    A snapshot from before the publication must not make the replay complete.
    """
    state = states.ConfigurationState()
    whole = records.PublicationRecord("inventory", -1, WHOLE)
    state = replay.apply_batch(state, 0, 1, [(0, whole)], documents, 0)
    data = b"".join(documents.encode_configuration(state.configuration))
    change = records.PublicationRecord(
        "inventory", 0, {"members": ["m1", "m2"]}, delta=True
    )
    stale = records.SnapshotRecord(0, 1, data)
    items = [(1, change), (2, stale)]
    fresh = states.ConfigurationState()
    replayed = replay.apply_batch(fresh, 1, 3, items, documents, 0)
    assert not replayed.complete
    replayed = replay.apply_batch(fresh, 2, 3, items[1:], documents, 0)
    assert not replayed.complete
    current = records.SnapshotRecord(0, 1, data)
    replayed = replay.apply_batch(fresh, 1, 2, [(1, current)], documents, 0)
    assert replayed.complete
    assert replayed.configuration == state.configuration


def test_removal_of_a_referenced_member_is_rejected():
    """Guards against a delta that leaves a dangling reference."""
    state = states.ConfigurationState()
    whole = records.PublicationRecord("inventory", -1, WHOLE)
    change = records.PublicationRecord(
        "inventory", 0, {"members": []}, delta=True
    )
    items = [(0, whole), (1, change)]
    state = replay.apply_batch(state, 0, 2, items, documents, 0)
    assert [item.accepted for item in state.verdicts] == [True, False]
