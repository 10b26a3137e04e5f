"""Measures the cost of streams, work messages and idempotency keys."""

from __future__ import annotations

from typing import Any
import uuid

import slope_reports
import slope_samples
import worktree  # noqa: F401

from bronzetrack.configuration import state as configurations
from bronzetrack.core import clock
from bronzetrack.dispatch import state as dispatch
from bronzetrack.http import intake
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import records as key_records
from bronzetrack.idempotency import table as key_table
from bronzetrack.logservice import logservice
from bronzetrack.peer import hub
from bronzetrack.retries import records as crash_records
from bronzetrack.retries import suspects
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.wire import frames


def measure_streams(state: configurations.ConfigurationState) -> None:
    """Measure the state of open streams and the size of their messages."""
    works = [
        slope_samples.make_work(index)
        for index in range(slope_samples.STREAMS)
    ]
    bodies = [
        slope_samples.encode(work)[frames.PREFIX_BYTES :] for work in works
    ]
    with slope_reports.measure_memory(
        "open stream, queue of its owner", slope_samples.STREAMS
    ):
        kept = [
            dispatch.Running(hub.CODEC.decode(body), "vm-1", 0)
            for body in bodies
        ]
    assert len(kept) == slope_samples.STREAMS
    body = b'{"model": "adapter-00000", "max_tokens": 100, "prompt": "%s"}'
    now = clock.read_clock()

    def read() -> Any:
        return intake.read_completion(
            uuid.uuid4().hex,
            state.configuration,
            "/v1/completions",
            {},
            body % (b"x" * 2_000),
            60_000,
            now,
        )

    with slope_reports.measure_memory(
        "open stream, request at its entry VM", slope_samples.STREAMS
    ):
        requests = [read() for _ in range(slope_samples.STREAMS)]
    assert len(requests) == slope_samples.STREAMS
    slope_reports.measure_time("request checked on arrival", read)
    slope_reports.report(
        "size: work message, 2,000 bytes of body", len(bodies[0]), "bytes"
    )
    chunk = messages.AnswerChunk(works[0].attempt, 17, slope_samples.CHUNK)
    data = hub.CODEC.encode(chunk)
    slope_reports.report(
        f"size: chunk message, {len(slope_samples.CHUNK)} bytes of content",
        len(data) + frames.PREFIX_BYTES,
        "bytes",
    )
    slope_reports.measure_time(
        "chunk message encoded", lambda: slope_samples.encode(chunk)
    )
    slope_reports.measure_time(
        "chunk message decoded", lambda: hub.CODEC.decode(data)
    )


def measure_keys() -> None:
    """Measure the key table and the records of keys and crashes."""
    claims = [
        logservice.CODEC.encode(
            key_records.KeyClaim(
                key=uuid.uuid4().hex,
                vm="vm-1",
                incarnation=f"{1:032x}",
                attempt=uuid.uuid4().hex,
                fingerprint=uuid.uuid4().hex,
                issued_ms=1_700_000_000_000,
            )
        )
        for _ in range(slope_samples.KEYS)
    ]
    slope_reports.report("size: key claim record", len(claims[0]), "bytes")
    entries: dict[str, Any] = {}
    with slope_reports.measure_memory("key claim", slope_samples.KEYS):
        for offset, data in enumerate(claims):
            record = logservice.CODEC.decode(data)
            entries[record.key] = key_table.apply_record(
                entries, offset, record
            )
    slope_reports.measure_time(
        "replay of a key claim record",
        lambda: key_table.apply_record(
            {}, 1, logservice.CODEC.decode(claims[0])
        ),
    )
    result = logservice.CODEC.encode(
        key_records.KeyResult(
            key=uuid.uuid4().hex,
            attempt=uuid.uuid4().hex,
            outcome=outcomes.Outcome.COMPLETED.value,
            status=200,
            content_type="application/json",
            answer=b"x" * 500,
        )
    )
    slope_reports.report(
        "size: key result record, 500 bytes", len(result), "bytes"
    )
    crash = logservice.CODEC.encode(
        crash_records.CrashRecord(
            uuid.uuid4().hex,
            "engine-0000",
            tuple(uuid.uuid4().hex for _ in range(slope_samples.SLOTS)),
            1,
        )
    )
    slope_reports.report("size: crash record", len(crash), "bytes")
    slope_reports.measure_time(
        "replay of a crash record",
        lambda: suspects.record_crash(
            suspects.SuspectTable(), logservice.CODEC.decode(crash), 1
        ),
    )
    slope_reports.report("window of keys", keys.KEY_RETENTION_MS / 1000, "s")
