"""Keeps the table of requests that may crash endpoints."""

from __future__ import annotations

import attrs

from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.platform import follower
from bronzetrack.retries import records
from bronzetrack.retries import suspects


@controllers.CONTROLLERS.register("suspects")
class SuspectsController(controllers.Controller):
    """Replays the stream of crashes."""

    name = "suspects"

    async def run(self) -> None:
        batches = follower.follow_stream(self.ports.log, records.STREAM)
        async for batch in batches:
            if isinstance(batch, failures.Failure):
                continue
            table = self.board.suspects.value
            now_ms = self.read_clock().monotonic_ms
            for offset, record in batch.records:
                table = attrs.evolve(table, next_offset=offset + 1)
                if isinstance(record, records.CrashRecord):
                    table = suspects.record_crash(table, record, now_ms)
            self.write(self.board.suspects, table)
