"""Publishes configuration through the platform's log."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
import uuid

import attrs

from bronzetrack.configuration import records
from bronzetrack.configuration import replay
from bronzetrack.configuration import state as states
from bronzetrack.core import failures
from bronzetrack.platform import logservice
from bronzetrack.wire import documents


@attrs.frozen
class Publication:
    """A decided publication."""

    verdict: states.Verdict
    configuration: states.Configuration


async def read_configuration(
    log: logservice.LogClient,
) -> states.ConfigurationState | failures.Failure:
    """Replay the retained stream up to its present end."""
    first = await log.read(records.STREAM, logservice.BEYOND_END)
    if isinstance(first, failures.Failure):
        return first
    state = states.ConfigurationState(next_offset=first.start)
    while state.next_offset < first.end:
        batch = await log.read(records.STREAM, state.next_offset)
        if isinstance(batch, failures.Failure):
            return batch
        for offset, record in batch.records:
            state = replay.apply_record(state, offset, record, documents)
    return state


async def publish(
    log: logservice.LogClient,
    kind: str,
    document: Mapping[str, Any],
    author: str,
    base: int | None = None,
) -> Publication | failures.Failure:
    """Publish a document and return how it was decided.

    :param kind: `inventory` or `rules`
    :param base: the offset that the document was made from, by default the
        one in force
    """
    before = await read_configuration(log)
    if isinstance(before, failures.Failure):
        return before
    record = records.PublicationRecord(
        kind=kind,
        base=before.configuration.offset if base is None else base,
        document=document,
        author=author,
        token=uuid.uuid4().hex,
    )
    checked = replay.decide_publication(
        before.configuration, before.next_offset, record, documents
    )
    if isinstance(checked, failures.Failure):
        return checked
    offset = await log.append(records.STREAM, [record])
    if isinstance(offset, failures.Failure):
        if offset.reason is not failures.Reason.APPEND_UNCERTAIN:
            return offset
        offset = await _find_record(log, record, before.next_offset)
        if isinstance(offset, failures.Failure):
            return offset
    return await _read_verdict(log, offset)


async def _find_record(
    log: logservice.LogClient,
    record: records.PublicationRecord,
    offset: int,
) -> int | failures.Failure:
    """Look for a record whose append was not confirmed."""
    while True:
        batch = await log.read(records.STREAM, offset)
        if isinstance(batch, failures.Failure):
            return batch
        for found_offset, found in batch.records:
            offset = found_offset + 1
            if (
                isinstance(found, records.PublicationRecord)
                and found.token == record.token
            ):
                return found_offset
        if offset >= batch.end:
            return failures.Failure(
                failures.Reason.APPEND_UNCERTAIN,
                "the record is not in the log yet; look at the history",
            )


async def _read_verdict(
    log: logservice.LogClient, offset: int
) -> Publication | failures.Failure:
    state = await read_configuration(log)
    if isinstance(state, failures.Failure):
        return state
    found = [item for item in state.verdicts if item.offset == offset]
    if not found:
        return failures.Failure(
            failures.Reason.APPEND_UNCERTAIN,
            f"the decision about offset {offset} is no longer retained",
        )
    return Publication(found[0], state.configuration)
