"""Controller that keeps the configuration up to date."""

from __future__ import annotations

import logging

from bronzetrack.core import logevents
from bronzetrack.entry import roles
from bronzetrack.platform import documents
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
# Longest wait of one read. A change must be applied within two seconds of its
# acknowledgement, even if a connection no longer delivers data.
READ_WAIT_S = 1.0


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
            change = await operator_follower.read()
            self.write(self.board.store_read_at, self.read_clock())
            applied = [self._apply(record) for record in change.records]
            if any(applied):
                self.write(self.board.rules, self.board.rules.value)

    def _apply(self, record: stores.KeyedRecord) -> bool:
        if record.value is None:
            return False
        try:
            if record.key == names.CONFIGURATION_KEY:
                return self._apply_configuration(record.value)
            if record.key.startswith(names.VERSION_KEY_PREFIX):
                return self._apply_version(record.value)
        except documents.DocumentError as error:
            event = logevents.DocumentRejected(
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
        logevents.log(LOG, logevents.ConfigurationApplied(published.version))
        return True

    def _apply_version(self, value: bytes) -> bool:
        published = documents.decode_version(value)
        versions = self.board.rules.value.versions
        key = (published.model, published.adapter)
        if versions.get(key, 0) >= published.version:
            return False
        versions[key] = published.version
        event = logevents.AdapterVersionRequired(
            published.model, published.adapter, published.version
        )
        logevents.log(LOG, event)
        return True
