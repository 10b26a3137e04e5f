"""Controller of the table of requests that may crash endpoints."""

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
# During a long outage of the log the oldest pending records are dropped. The
# peers have them, since each record is also sent as a notice.
PENDING_RECORDS = 1_024


@controllers.CONTROLLERS.register("suspects")
class SuspectsController(controllers.Controller):
    """Replays the stream of crashes, and records crashes that this VM sees."""

    name = "suspects"

    async def run(self) -> None:
        self._pending: list[Any] = []
        self._pending_added = anyio.Event()
        self._service_crashes: list[str] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._receive)
            group.start_soon(self._watch_restarts)
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
                    case events.CrashObserved():
                        self._record_crash(item)
                    case events.CrashesReceived():
                        self._add_received_crashes(item)
                    case events.SuspectCompleted():
                        self._record_clearance(item)
                    case _:
                        self._apply_notice(item.message)

    def _apply_notice(self, notice: messages.SuspectNotice) -> None:
        for record in (notice.crash, notice.clearance):
            if record is not None:
                self._apply(record)

    def _record_crash(self, crash_observed: events.CrashObserved) -> None:
        now = self.read_clock()
        crash = suspects.make_crash_id(
            crash_observed.endpoint,
            crash_observed.boot,
            self._service_crashes,
            crash_observed.started_ms,
            now.wall_ms,
        )
        if not crash_observed.boot and crash not in self._service_crashes:
            self._service_crashes = [*self._service_crashes[-63:], crash]
        known_suspects = self.board.suspects.value.suspects
        new_fingerprints = tuple(
            name
            for name in crash_observed.fingerprints
            if name not in known_suspects
            or crash not in known_suspects[name].crashes
        )
        if new_fingerprints:
            record = records.CrashRecord(
                crash, crash_observed.endpoint, new_fingerprints, now.wall_ms
            )
            self._publish(record, messages.SuspectNotice(crash=record))

    def _add_received_crashes(self, received: events.CrashesReceived) -> None:
        table = suspects.add_crashes(
            self.board.suspects.value,
            received.fingerprint,
            received.crashes,
            self.read_clock().monotonic_ms,
        )
        self.write(self.board.suspects, table)

    def _record_clearance(self, completed: events.SuspectCompleted) -> None:
        record = records.ClearanceRecord(
            completed.fingerprint, completed.crashes, self.read_clock().wall_ms
        )
        self._publish(record, messages.SuspectNotice(clearance=record))

    def _publish(self, record: Any, notice: messages.SuspectNotice) -> None:
        self._apply(record)
        for vm in self.ports.peers.list_sessions():
            self.ports.peers.send(vm, notice)
        self._pending = [*self._pending[1 - PENDING_RECORDS :], record]
        self._pending_added.set()

    async def _append(self) -> None:
        while True:
            await self._pending_added.wait()
            batch = list(self._pending)
            offset = await self.ports.log.append(records.STREAM, batch)
            if isinstance(offset, failures.Failure):
                # A duplicate of a record has no effect.
                await anyio.sleep(APPEND_RETRY_MS / 1000)
                continue
            self._pending = [
                record for record in self._pending if record not in batch
            ]
            if not self._pending:
                self._pending_added = anyio.Event()

    async def _watch_restarts(self) -> None:
        """Record a crash when an engine restarted while requests ran on it."""
        boots: dict[str, str] = {}
        revision = -1
        while True:
            revision = await self.board.dispatch.wait_change(revision)
            queues = self.board.dispatch.value.endpoints
            for name, queue in queues.items():
                previous_boot = boots.get(name, "")
                if (
                    previous_boot
                    and queue.boot != previous_boot
                    and queue.running
                ):
                    fingerprints = (
                        item.work.fingerprint
                        for item in queue.running.values()
                    )
                    self._record_crash(
                        events.CrashObserved(
                            name, previous_boot, tuple(fingerprints)
                        )
                    )
            boots = {name: queue.boot for name, queue in queues.items()}
