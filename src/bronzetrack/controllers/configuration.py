"""Keeps the configuration in force."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.configuration import records
from bronzetrack.configuration import replay
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.platform import follower
from bronzetrack.platform import logservice
from bronzetrack.wire import documents

LOG = logging.getLogger(__name__)


@controllers.CONTROLLERS.register("configuration")
class ConfigurationController(controllers.Controller):
    """Replays the stream of publications."""

    name = "configuration"

    async def run(self) -> None:
        batches = follower.follow_stream(self.ports.log, records.STREAM)
        async for batch in batches:
            self._apply_batch(batch)

    def _apply_batch(
        self, batch: logservice.LogBatch | failures.Failure
    ) -> None:
        state = self.board.configuration.value
        if isinstance(batch, failures.Failure):
            state = attrs.evolve(state, log_reachable=False)
            self.write(self.board.configuration, state)
            return
        before = state.configuration.offset
        for offset, record in batch.records:
            state = replay.apply_record(state, offset, record, documents)
        state = attrs.evolve(state, log_reachable=True)
        self.write(self.board.configuration, state)
        if state.configuration.offset != before:
            LOG.info(
                "configuration in force",
                extra={
                    "event": "configuration_in_force",
                    "offset": state.configuration.offset,
                },
            )
