"""Keeps the table of requests that may crash endpoints."""

from __future__ import annotations

from typing import Any

import anyio
import attrs

from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.logservice import follower
from bronzetrack.retries import events
from bronzetrack.retries import messages
from bronzetrack.retries import records
from bronzetrack.retries import suspects

APPEND_RETRY_MS = 500
# During a long outage the oldest are dropped; the peers have them.
PENDING_RECORDS = 1_024


@controllers.CONTROLLERS.register("suspects")
class SuspectsController(controllers.Controller):
    """Replays the stream of crashes, and records those seen here."""

    name = "suspects"

    async def run(self) -> None:
        self._pending: list[Any] = []
        self._unsent = anyio.Event()
        self._service_crashes: list[str] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._receive)
            group.start_soon(self._watch_boots)
            group.start_soon(self._append)

    async def _follow(self) -> None:
        batches = follower.follow_stream(self.ports.log, records.STREAM)
        async for batch in batches:
            if isinstance(batch, failures.Failure):
                continue
            for offset, record in batch.records:
                if not isinstance(record, failures.Failure):
                    self._apply(record)
                table = self.board.suspects.value
                table = attrs.evolve(table, next_offset=offset + 1)
                self.write(self.board.suspects, table)

    def _apply(self, record: Any) -> None:
        now = self.read_clock()
        table = suspects.apply_record(
            self.board.suspects.value,
            record,
            max(0, now.wall_ms - record.wall_ms),
            now.monotonic_ms,
        )
        self.write(self.board.suspects, table)

    async def _receive(self) -> None:
        mailbox = self.board.mailboxes["suspects"]
        while True:
            await mailbox.wait_items()
            for item in mailbox.take():
                match item:
                    case events.CrashSeen():
                        self._record_crash(item)
                    case events.CrashesCarried():
                        self._learn_crashes(item)
                    case events.SuspectCompleted():
                        self._record_clearance(item)
                    case _:
                        self._apply_notice(item.message)

    def _apply_notice(self, notice: messages.SuspectNotice) -> None:
        for record in (notice.crash, notice.clearance):
            if record is not None:
                self._apply(record)

    def _record_crash(self, seen: events.CrashSeen) -> None:
        now = self.read_clock()
        crash = suspects.make_crash_id(
            seen.endpoint,
            seen.boot,
            self._service_crashes,
            seen.started_ms,
            now.wall_ms,
        )
        if not seen.boot and crash not in self._service_crashes:
            self._service_crashes = [*self._service_crashes[-63:], crash]
        known = self.board.suspects.value.suspects
        fresh = tuple(
            name
            for name in seen.fingerprints
            if name not in known or crash not in known[name].crashes
        )
        if fresh:
            record = records.CrashRecord(
                crash, seen.endpoint, fresh, now.wall_ms
            )
            self._publish(record, messages.SuspectNotice(crash=record))

    def _learn_crashes(self, carried: events.CrashesCarried) -> None:
        table = suspects.learn_crashes(
            self.board.suspects.value,
            carried.fingerprint,
            carried.crashes,
            self.read_clock().monotonic_ms,
        )
        self.write(self.board.suspects, table)

    def _record_clearance(self, done: events.SuspectCompleted) -> None:
        record = records.ClearanceRecord(
            done.fingerprint, done.crashes, self.read_clock().wall_ms
        )
        self._publish(record, messages.SuspectNotice(clearance=record))

    def _publish(self, record: Any, notice: messages.SuspectNotice) -> None:
        self._apply(record)
        for vm in self.ports.peers.list_sessions():
            self.ports.peers.send(vm, notice)
        self._pending = [*self._pending[1 - PENDING_RECORDS :], record]
        self._unsent.set()

    async def _append(self) -> None:
        while True:
            await self._unsent.wait()
            batch = list(self._pending)
            offset = await self.ports.log.append(records.STREAM, batch)
            if isinstance(offset, failures.Failure):
                # A second copy of a record changes nothing.
                await anyio.sleep(APPEND_RETRY_MS / 1000)
                continue
            self._pending = [
                record for record in self._pending if record not in batch
            ]
            if not self._pending:
                self._unsent = anyio.Event()

    async def _watch_boots(self) -> None:
        """Record engines that restarted while requests ran there."""
        boots: dict[str, str] = {}
        revision = -1
        while True:
            revision = await self.board.dispatch.wait_change(revision)
            queues = self.board.dispatch.value.endpoints
            for name, queue in queues.items():
                before = boots.get(name, "")
                if before and queue.boot != before and queue.running:
                    ran = (
                        item.work.fingerprint
                        for item in queue.running.values()
                    )
                    self._record_crash(
                        events.CrashSeen(name, before, tuple(ran))
                    )
            boots = {name: queue.boot for name, queue in queues.items()}
