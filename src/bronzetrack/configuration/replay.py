"""Replay of the configuration stream.

Whether a record is accepted depends only on earlier records, so that every
daemon and every operator tool obtains the same result.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

import attrs

from bronzetrack.configuration import records
from bronzetrack.configuration import state as states
from bronzetrack.configuration import validation
from bronzetrack.core import failures
from bronzetrack.core import retention

MAX_VERDICTS = 64


class DocumentReader(Protocol):
    """Converts documents and encoded configurations from records."""

    def read_document(self, kind: str, document: Any) -> Any:
        """Return the parsed inventory or rule set, or a failure."""

    def apply_delta(
        self, kind: str, current: Any, delta: Mapping[str, Any]
    ) -> Any:
        """Return the inventory or rule set with changes applied, or a failure.

        :param kind: `inventory` or `rules`
        :param current: the inventory or rule set in force
        :param delta: changed entries by section, None for a removed entry
        """

    def decode_configuration(self, data: bytes) -> Any:
        """Return the decoded configuration, or a failure."""


def apply_batch(
    state: states.ConfigurationState,
    start: int,
    end: int,
    items: Iterable[tuple[int, Any]],
    reader: DocumentReader,
    now_ms: int,
) -> states.ConfigurationState:
    """Return the state after one read of the stream.

    :param start: the earliest retained offset
    :param end: the offset of the next append
    :param items: offsets and records; records that were read before are
        skipped
    :param reader: converter for the documents of the records
    :param now_ms: monotonic time at which the batch was read
    """
    retained = attrs.evolve(state.retained, start=start, end=end)
    state = attrs.evolve(
        state, retained=retained, log_reachable=True, failed_reads=0
    )
    first, unread = retention.find_unread(state.next_offset, start, items)
    if first > state.next_offset:
        state = attrs.evolve(
            state, next_offset=first, changed_offset=first, complete=False
        )
    for offset, record in unread:
        state = apply_record(state, offset, record, reader, now_ms)
    return state


def record_failed_read(
    state: states.ConfigurationState,
) -> states.ConfigurationState:
    """Return the state after a read of the stream failed."""
    return attrs.evolve(
        state, log_reachable=False, failed_reads=state.failed_reads + 1
    )


def adopt_configuration(
    state: states.ConfigurationState,
    configuration: states.Configuration,
    through: int,
) -> states.ConfigurationState:
    """Return the state after a peer sent its configuration.

    The replay of the peer was complete, so the replay of this VM can continue
    from the offset that the peer had reached. A configuration with a lower
    offset than the one in force is never adopted.

    :param through: offset up to which the peer had read the stream
    """
    if configuration.offset < state.configuration.offset:
        return state
    if state.complete and through <= state.next_offset:
        return state
    return attrs.evolve(
        state,
        configuration=configuration,
        next_offset=through,
        changed_offset=through,
        complete=True,
    )


def is_snapshot_due(
    state: states.ConfigurationState, rank: int, now_ms: int
) -> bool:
    """Return whether this VM should append a snapshot now.

    :param rank: rank of this VM among the VMs that could append one
    """
    if state.configuration.offset == states.NO_OFFSET:
        return False
    if not state.complete or not state.log_reachable:
        return False
    return retention.is_snapshot_due(state.retained, rank, now_ms)


def apply_record(
    state: states.ConfigurationState,
    offset: int,
    record: Any,
    reader: DocumentReader,
    now_ms: int = 0,
) -> states.ConfigurationState:
    """Return the state after one record of the stream.

    :param now_ms: monotonic time at which the record was read
    """
    state = attrs.evolve(state, next_offset=offset + 1)
    match record:
        case records.PublicationRecord():
            if state.complete:
                state = _apply_publication(state, offset, record, reader)
            return attrs.evolve(state, changed_offset=offset + 1)
        case records.SnapshotRecord():
            return _apply_snapshot(state, record, reader, now_ms)
    return state


def _apply_publication(
    state: states.ConfigurationState,
    offset: int,
    record: records.PublicationRecord,
    reader: DocumentReader,
) -> states.ConfigurationState:
    result = decide_publication(state.configuration, offset, record, reader)
    accepted = not isinstance(result, failures.Failure)
    verdict = states.Verdict(
        offset,
        accepted,
        "" if accepted else f"{result.reason.value}: {result.detail}",
        record.author,
        record.token,
    )
    if accepted:
        state = attrs.evolve(state, configuration=result)
    verdicts = (*state.verdicts, verdict)[-MAX_VERDICTS:]
    return attrs.evolve(state, verdicts=verdicts)


def decide_publication(
    current: states.Configuration,
    offset: int,
    record: records.PublicationRecord,
    reader: DocumentReader,
) -> states.Configuration | failures.Failure:
    """Return the configuration after a publication, or why it is rejected."""
    if record.base != current.offset:
        return failures.Failure(
            failures.Reason.CONFIGURATION_CONFLICT,
            f"based on {record.base}, in force is {current.offset}",
        )
    if record.kind not in ("inventory", "rules"):
        return failures.Failure(
            failures.Reason.CONFIGURATION_INVALID,
            f"unknown kind {record.kind!r}",
        )
    if record.delta:
        value = reader.apply_delta(
            record.kind, getattr(current, record.kind), record.document
        )
    else:
        value = reader.read_document(record.kind, record.document)
    if isinstance(value, failures.Failure):
        return value
    changed = attrs.evolve(current, offset=offset, **{record.kind: value})
    names = None
    if record.delta and record.kind == "inventory":
        names = record.document
    errors = validation.list_errors(changed.inventory, changed.rules, names)
    if errors:
        return failures.Failure(
            failures.Reason.CONFIGURATION_INVALID, "; ".join(errors)
        )
    return changed


def _apply_snapshot(
    state: states.ConfigurationState,
    record: records.SnapshotRecord,
    reader: DocumentReader,
    now_ms: int,
) -> states.ConfigurationState:
    if record.through < max(state.changed_offset, state.retained.copy):
        return state
    retained = attrs.evolve(
        state.retained, copy=record.through, copy_ms=now_ms
    )
    if state.complete:
        return attrs.evolve(state, retained=retained)
    found = reader.decode_configuration(record.data)
    if isinstance(found, failures.Failure):
        return state
    if found.offset < state.configuration.offset:
        return state
    return attrs.evolve(
        state, configuration=found, retained=retained, complete=True
    )
