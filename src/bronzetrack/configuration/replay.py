"""Replay of the configuration stream.

The decision about a record depends on earlier records alone, so that every
daemon and every operator's tool comes to the same result.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import Protocol

import attrs

from bronzetrack.configuration import records
from bronzetrack.configuration import state as states
from bronzetrack.configuration import validation
from bronzetrack.core import failures

KEPT_VERDICTS = 64


class DocumentReader(Protocol):
    """Converts the documents of records."""

    def read_document(self, kind: str, document: Any) -> Any:
        """Return an inventory, a rule set, or a failure."""

    def apply_delta(
        self, kind: str, current: Any, delta: Mapping[str, Any]
    ) -> Any:
        """Return a changed inventory or rule set, or a failure."""


def apply_record(
    state: states.ConfigurationState,
    offset: int,
    record: Any,
    reader: DocumentReader,
) -> states.ConfigurationState:
    """Return the state after one record of the stream."""
    state = attrs.evolve(state, next_offset=offset + 1)
    match record:
        case records.PublicationRecord():
            return _apply_publication(state, offset, record, reader)
        case records.SnapshotRecord():
            return _apply_snapshot(state, offset, record, reader)
    return state


def _apply_publication(
    state: states.ConfigurationState,
    offset: int,
    record: records.PublicationRecord,
    reader: DocumentReader,
) -> states.ConfigurationState:
    result = decide_publication(state.configuration, offset, record, reader)
    if isinstance(result, failures.Failure):
        verdict = states.Verdict(
            offset,
            False,
            f"{result.reason.value}: {result.detail}",
            record.author,
        )
        return _add_verdict(state, verdict)
    verdict = states.Verdict(offset, True, author=record.author)
    return _add_verdict(attrs.evolve(state, configuration=result), verdict)


def decide_publication(
    current: states.Configuration,
    offset: int,
    record: records.PublicationRecord,
    reader: DocumentReader,
) -> states.Configuration | failures.Failure:
    """Return the configuration that a publication brings, or a failure."""
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
    mistakes = validation.list_mistakes(changed.inventory, changed.rules)
    if mistakes:
        return failures.Failure(
            failures.Reason.CONFIGURATION_INVALID, "; ".join(mistakes)
        )
    return changed


def _apply_snapshot(
    state: states.ConfigurationState,
    offset: int,
    record: records.SnapshotRecord,
    reader: DocumentReader,
) -> states.ConfigurationState:
    if record.offset <= state.configuration.offset:
        return state
    inventory = reader.read_document("inventory", record.inventory)
    rules = reader.read_document("rules", record.rules)
    if isinstance(inventory, failures.Failure):
        return state
    if isinstance(rules, failures.Failure):
        return state
    configuration = states.Configuration(record.offset, inventory, rules)
    return attrs.evolve(state, configuration=configuration)


def _add_verdict(
    state: states.ConfigurationState, verdict: states.Verdict
) -> states.ConfigurationState:
    verdicts = (*state.verdicts, verdict)[-KEPT_VERDICTS:]
    return attrs.evolve(state, verdicts=verdicts)
