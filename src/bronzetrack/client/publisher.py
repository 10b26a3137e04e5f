"""Publishes configuration documents through the platform's log."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
import uuid

import attrs

from bronzetrack.configuration import records
from bronzetrack.configuration import replay
from bronzetrack.configuration import state as states
from bronzetrack.core import failures
from bronzetrack.logservice import logservice
from bronzetrack.wire import documents

MAX_APPEND_ATTEMPTS = 3


@attrs.frozen
class Publication:
    """A publication with its verdict.

    :param verdict: whether the publication was accepted, and why not
    :param configuration: the configuration in force after the verdict
    """

    verdict: states.Verdict
    configuration: states.Configuration


async def read_configuration(
    log: logservice.LogClient,
) -> states.ConfigurationState | failures.Failure:
    """Replay the retained part of the stream up to its current end."""
    first = await log.read(records.STREAM, logservice.BEYOND_END)
    if isinstance(first, failures.Failure):
        return first
    state = replay.apply_batch(
        states.ConfigurationState(), first.start, first.end, (), documents, 0
    )
    state = await _replay_until(log, state)
    if isinstance(state, failures.Failure) or state.complete:
        return state
    return failures.Failure(
        failures.Reason.LOG_TRUNCATED,
        "the log retains no copy of the configuration; a running daemon "
        "appends one within seconds",
        retry_after_ms=10_000,
    )


async def _replay_until(
    log: logservice.LogClient,
    state: states.ConfigurationState,
    token: str = "",
) -> states.ConfigurationState | failures.Failure:
    """Replay from a state to the end of the stream.

    :param token: token of a publication; its verdict ends the replay early
    """
    while True:
        batch = await log.read(records.STREAM, state.next_offset)
        if isinstance(batch, failures.Failure):
            return batch
        state = replay.apply_batch(
            state, batch.start, batch.end, batch.records, documents, 0
        )
        decided = token and _find_verdict(state, token)
        if decided or state.next_offset >= batch.end:
            return state


def _find_verdict(
    state: states.ConfigurationState, token: str
) -> states.Verdict | None:
    found = (item for item in state.verdicts if item.token == token)
    return next(found, None)


async def publish(
    log: logservice.LogClient,
    kind: str,
    document: Mapping[str, Any],
    author: str,
    base: int | None = None,
) -> Publication | failures.Failure:
    """Publish a document and return the verdict on it.

    :param kind: `inventory` or `rules`
    :param base: offset of the configuration that the document was made from,
        by default the one in force
    """
    before = await read_configuration(log)
    if isinstance(before, failures.Failure):
        return before
    record = _make_record(before.configuration, kind, document, author, base)
    if isinstance(record, failures.Failure):
        return record
    checked = replay.decide_publication(
        before.configuration, before.next_offset, record, documents
    )
    if isinstance(checked, failures.Failure):
        return checked
    return await _append(log, before, record)


def _make_record(
    current: states.Configuration,
    kind: str,
    document: Mapping[str, Any],
    author: str,
    base: int | None,
) -> records.PublicationRecord | failures.Failure:
    """Return a publication of the changes to the configuration in force.

    The first publication of all holds the whole document.
    """
    value = documents.read_document(kind, document)
    if isinstance(value, failures.Failure):
        return value
    first = current.offset == states.NO_OFFSET
    if not first:
        document = documents.make_delta(getattr(current, kind), value)
    return records.PublicationRecord(
        kind=kind,
        base=current.offset if base is None else base,
        document=document,
        author=author,
        delta=not first,
        token=uuid.uuid4().hex,
    )


async def _append(
    log: logservice.LogClient,
    state: states.ConfigurationState,
    record: records.PublicationRecord,
) -> Publication | failures.Failure:
    """Append a record, with retries, until its verdict is read.

    The record may be appended several times when answers of the log are
    lost. All copies have the same base, so at most the first one is accepted,
    and its verdict is the result.
    """
    uncertain = ""
    for _ in range(MAX_APPEND_ATTEMPTS):
        offset = await log.append(records.STREAM, [record])
        if isinstance(offset, failures.Failure):
            is_certain = offset.reason is not failures.Reason.APPEND_UNCERTAIN
            if is_certain and not uncertain:
                return offset
            uncertain = f"{offset.reason.value}: {offset.detail}"
        else:
            uncertain = f"appended at {offset}"
        after = await _replay_until(log, state, record.token)
        if isinstance(after, failures.Failure):
            uncertain = f"{uncertain}; {after.detail}"
            continue
        state = after
        verdict = _find_verdict(state, record.token)
        if verdict is not None:
            return Publication(verdict, state.configuration)
    return failures.Failure(
        failures.Reason.APPEND_UNCERTAIN,
        f"the verdict could not be read; check the history: {uncertain}",
    )
