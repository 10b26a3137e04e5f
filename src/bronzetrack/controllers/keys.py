"""Controller that maintains the table of idempotency keys."""

from __future__ import annotations

from typing import Any

import anyio

from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.idempotency import records
from bronzetrack.idempotency import requests
from bronzetrack.idempotency import table as tables
from bronzetrack.logservice import follower
from bronzetrack.logservice import logservice

BATCH_DELAY_MS = 5
APPEND_RETRY_MS = 200
TRIM_INTERVAL_S = 60


@controllers.CONTROLLERS.register("keys")
class KeysController(controllers.Controller):
    """Replays the keys stream and appends its records in batches."""

    name = "keys"

    async def run(self) -> None:
        self._pending: list[Any] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._append)
            group.start_soon(self._trim_entries)

    async def _follow(self) -> None:
        batches = follower.follow_stream(self.ports.log, records.STREAM)
        async for batch in batches:
            table = self.board.keys.value
            if isinstance(batch, failures.Failure):
                table.log_reachable = False
                if batch.reason is failures.Reason.LOG_TRUNCATED:
                    table.caught_up = False
            else:
                self._apply_batch(table, batch)
            self.write(self.board.keys, table)

    def _apply_batch(
        self, table: tables.KeyTable, batch: logservice.LogBatch
    ) -> None:
        table.log_reachable = True
        for offset, record in batch.records:
            table.next_offset = offset + 1
            if isinstance(record, failures.Failure):
                continue
            entry = tables.apply_record(table.entries, offset, record)
            if entry is not None:
                table.entries[record.key] = entry
        if not batch.records:
            table.next_offset = max(table.next_offset, batch.start)
        if table.next_offset >= batch.end:
            table.caught_up = True

    async def _append(self) -> None:
        mailbox = self.board.mailboxes["keys"]
        while True:
            if not self._pending:
                await mailbox.wait_items()
                await anyio.sleep(BATCH_DELAY_MS / 1000)
            for request in mailbox.take():
                self._handle_request(request)
            if not self._pending:
                continue
            batch = list(self._pending)
            offset = await self.ports.log.append(records.STREAM, batch)
            if isinstance(offset, failures.Failure):
                # The failed append may still have stored the records.
                # Duplicates have no effect, because the first record of a key
                # decides.
                await anyio.sleep(APPEND_RETRY_MS / 1000)
                continue
            self._pending = [
                record for record in self._pending if record not in batch
            ]

    def _handle_request(self, request: Any) -> None:
        if isinstance(request, requests.AppendKey):
            self._pending.append(request.record)
            return
        self._pending = [
            record
            for record in self._pending
            if not isinstance(record, records.KeyClaim)
            or record.attempt != request.attempt
        ]

    async def _trim_entries(self) -> None:
        while True:
            await anyio.sleep(TRIM_INTERVAL_S)
            table = self.board.keys.value
            table.entries = tables.trim_entries(
                table.entries, self.read_clock().wall_ms
            )
            self.write(self.board.keys, table)
