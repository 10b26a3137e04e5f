"""Controller that keeps the configuration up to date."""

from __future__ import annotations

import logging
import math

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import store as store_events
from bronzetrack.entry import roles
from bronzetrack.platform import documents
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
# Longest wait of one read. A change must be applied within two seconds of its
# acknowledgement, even if a connection no longer delivers data.
READ_WAIT_S = 1.0
# Longest wait of one read while hubs tell this VM of changes.
INFORMED_READ_WAIT_S = 20.0
# A read that has not returned a change for this time after a hub has read it
# is on a connection that no longer delivers data.
HUB_LEAD_S = 0.3


@roles.CONTROLLERS.register("configuration")
class ConfigurationController(roles.Controller):
    """Follows the operator topic and applies its records."""

    name = "configuration"

    async def run(self) -> None:
        """Read and apply changes until cancelled."""
        operator_follower = follower.Follower(
            self.ports.store,
            names.OPERATOR_TOPIC,
            READ_WAIT_S,
            self.read_clock,
        )
        while True:
            change = await self._read(operator_follower)
            self.write(self.board.operator_read_at, change.as_of)
            self.write(
                self.board.operator_offset, operator_follower.next_offset
            )
            applied = [self._apply(record) for record in change.records]
            if any(applied):
                self.write(self.board.rules, self.board.rules.value)

    async def _read(
        self, operator_follower: follower.Follower
    ) -> follower.Change:
        """Return the next records, or none after the wait of one call.

        A read that is given up is repeated once with a short wait and on
        another connection. It is not given up, as a large configuration may
        take longer to arrive than the lead of a hub.
        """
        if self.read_clock() < self.board.membership.value.operator_news_until:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._cancel_when_late,
                    operator_follower,
                    group.cancel_scope,
                )
                change = await operator_follower.read(INFORMED_READ_WAIT_S)
                group.cancel_scope.cancel()
                return change
        return await operator_follower.read()

    async def _cancel_when_late(
        self, operator_follower: follower.Follower, scope: anyio.CancelScope
    ) -> None:
        """Cancel a long read that misses a change, or without news of hubs."""
        section = self.board.membership
        while (
            left_s := section.value.operator_news_until - self.read_clock()
        ) > 0:
            revision = section.revision
            if section.value.operator_offset > operator_follower.next_offset:
                await anyio.sleep(HUB_LEAD_S)
                break
            await blackboard.wait_any(
                section.is_newer(revision),
                timeout_ms=math.ceil(1000 * left_s),
            )
        scope.cancel()

    def _apply(self, record: stores.KeyedRecord) -> bool:
        if record.value is None:
            return False
        try:
            if record.key == names.CONFIGURATION_KEY:
                return self._apply_configuration(record.value)
            if record.key.startswith(names.VERSION_KEY_PREFIX):
                return self._apply_version(record.value)
        except documents.DocumentError as error:
            event = store_events.DocumentRejected(
                record.key, record.offset, str(error)
            )
            logevents.log(LOG, event)
        return False

    def _apply_configuration(self, value: bytes) -> bool:
        published = documents.decode_configuration(value)
        rules = self.board.rules.value
        current = rules.configuration
        if current is not None and published.version <= current.version:
            return False
        rules.configuration = published
        logevents.log(
            LOG, store_events.ConfigurationApplied(published.version)
        )
        return True

    def _apply_version(self, value: bytes) -> bool:
        published = documents.decode_version(value)
        versions = self.board.rules.value.versions
        key = (published.model, published.adapter)
        if versions.get(key, 0) >= published.version:
            return False
        versions[key] = published.version
        event = store_events.AdapterVersionRequired(
            published.model, published.adapter, published.version
        )
        logevents.log(LOG, event)
        return True
