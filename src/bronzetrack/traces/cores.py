"""Replay of traces through the decision code of each stream."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import ClassVar
from typing import Protocol

import attrs

from bronzetrack.configuration import records as configuration_records
from bronzetrack.configuration import replay as configuration_replay
from bronzetrack.configuration import state as configuration_state
from bronzetrack.core import records
from bronzetrack.core import registry
from bronzetrack.idempotency import records as key_records
from bronzetrack.idempotency import table as key_table
from bronzetrack.ownership import leases
from bronzetrack.ownership import records as ownership_records
from bronzetrack.ownership import replay as ownership_replay
from bronzetrack.retries import records as crash_records
from bronzetrack.retries import suspects
from bronzetrack.traces import dispatch
from bronzetrack.wire import documents


class Core(Protocol):
    """Replays the events of one trace.

    :param events: classes of the events by their registered names
    """

    events: ClassVar[registry.Registry[Any]]

    def apply(self, at_ms: int, offset: int, record: Any) -> None:
        """Apply one event to the replayed state.

        :param at_ms: monotonic time of the event
        :param offset: offset of the event's record in the stream
        :param record: the structured record or event
        """

    def get_outcomes(self) -> Mapping[str, Any]:
        """Return all outcomes of the events so far by name."""


CORES: registry.Registry[type[Core]] = registry.Registry("trace cores")
CORES.register(dispatch.NAME)(dispatch.DispatchCore)


def list_streams() -> list[str]:
    """Return the names of the log streams that can be recorded."""
    return sorted(
        name for name, core in CORES.items() if core.events is records.RECORDS
    )


class StreamCore:
    """Base class of cores whose events are the records of a log stream."""

    events: ClassVar[registry.Registry[Any]] = records.RECORDS


@CORES.register(key_records.STREAM)
@attrs.define
class KeysCore(StreamCore):
    """Replays idempotency keys.

    The outcomes are the phase and the attempt of each key.
    """

    entries: dict[str, key_table.KeyEntry] = attrs.field(factory=dict)

    def apply(self, at_ms: int, offset: int, record: Any) -> None:
        entry = key_table.apply_record(self.entries, offset, record)
        if entry is not None:
            self.entries[record.key] = entry

    def get_outcomes(self) -> Mapping[str, Any]:
        return {
            key: {"phase": entry.phase.value, "attempt": entry.attempt}
            for key, entry in self.entries.items()
        }


@CORES.register(ownership_records.STREAM)
@attrs.define
class OwnershipCore(StreamCore):
    """Replays the ownership of endpoints.

    The outcomes are the owner and the fencing token of each endpoint.
    """

    state: leases.OwnershipState = attrs.field(factory=leases.OwnershipState)

    def apply(self, at_ms: int, offset: int, record: Any) -> None:
        self.state = ownership_replay.apply_record(
            self.state, offset, record, at_ms
        )

    def get_outcomes(self) -> Mapping[str, Any]:
        return {
            endpoint: {"vm": owner.vm, "fencing": owner.fencing}
            for endpoint, owner in self.state.owners.items()
        }


@CORES.register(configuration_records.STREAM)
@attrs.define
class ConfigurationCore(StreamCore):
    """Replays configuration publications.

    The outcomes are the offset of the configuration in force, and whether the
    record at each offset was accepted.
    """

    state: configuration_state.ConfigurationState = attrs.field(
        factory=configuration_state.ConfigurationState
    )

    def apply(self, at_ms: int, offset: int, record: Any) -> None:
        self.state = configuration_replay.apply_record(
            self.state, offset, record, documents
        )

    def get_outcomes(self) -> Mapping[str, Any]:
        accepted = {
            str(verdict.offset): verdict.accepted
            for verdict in self.state.verdicts
        }
        return {"in_force": self.state.configuration.offset, **accepted}


@CORES.register(crash_records.STREAM)
@attrs.define
class CrashesCore(StreamCore):
    """Replays crashes and clearances.

    The outcome of each fingerprint is whether it is a suspect or refused.
    """

    table: suspects.SuspectTable = attrs.field(factory=suspects.SuspectTable)

    def apply(self, at_ms: int, offset: int, record: Any) -> None:
        self.table = suspects.apply_record(self.table, record, 0, at_ms)

    def get_outcomes(self) -> Mapping[str, Any]:
        return {
            fingerprint: (
                "refused" if self.table.is_refused(fingerprint) else "suspect"
            )
            for fingerprint in self.table.suspects
        }
