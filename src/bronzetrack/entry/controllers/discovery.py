"""Controller that keeps the table of endpoints up to date."""

from __future__ import annotations

import logging

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.platform import documents
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
# Time between two reads. Each endpoint writes about once a second. This
# interval needs few calls and is well below the time within which a leaving
# endpoint must get no more requests.
READ_INTERVAL_S = 1.0
# Longest wait of one read.
READ_WAIT_S = 0.5
# Time between two reads while entries return after an outage of the store.
RECOVERY_INTERVAL_S = 0.1
# Entries that expired during an outage of the store return within about this
# time.
RECOVERY_S = 2.0


@roles.CONTROLLERS.register("discovery")
class DiscoveryController(roles.Controller):
    """Follows the entries of endpoints and the placements of the holder."""

    name = "discovery"
    _recovered_at = float("-inf")

    async def run(self) -> None:
        """Apply entries and placements until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_entries)
            group.start_soon(self._follow_placements)

    async def _follow_entries(self) -> None:
        entry_follower = follower.Follower(
            self.ports.store, names.SERVERS_TOPIC, READ_WAIT_S, self.read_clock
        )
        started_at = self.read_clock()
        while True:
            change = await entry_follower.read()
            now = self.read_clock()
            if change.recovered:
                self._recovered_at = now
            if change.snapshot:
                self._mark_missing_removed(
                    {item.key for item in change.records}, now
                )
            for record in change.records:
                self._apply(record, now)
            self._expire(now)
            self._notify()
            await anyio.sleep(self._choose_interval(started_at, now))

    def _choose_interval(self, started_at: float, now: float) -> float:
        """Return the time until the next read.

        A VM that has just started did not see an earlier outage, after which
        entries may still return. A service without any entry indicates one.
        """
        returning = now - self._recovered_at < RECOVERY_S
        starting = now - started_at < RECOVERY_S and self._lacks_entries()
        return (
            RECOVERY_INTERVAL_S if returning or starting else READ_INTERVAL_S
        )

    def _lacks_entries(self) -> bool:
        """Return whether a service has no endpoint.

        Without a configuration, this is assumed.
        """
        configuration = self.board.rules.value.configuration
        if configuration is None:
            return True
        table = self.board.endpoints.value
        return not all(map(table.list_service, configuration.services))

    async def _follow_placements(self) -> None:
        mailbox = self.board.placed
        while True:
            await blackboard.wait_any(mailbox.is_filled())
            for placed in mailbox.take():
                self._apply_placement(placed)

    def _notify(self) -> None:
        self.write(self.board.endpoints, self.board.endpoints.value)

    def _apply(self, record: stores.KeyedRecord, now: float) -> None:
        if record.value is None:
            self._mark_removed(record.key, now)
            return
        try:
            found = documents.decode_announcement(record.key, record.value)
        except documents.DocumentError as error:
            event = logevents.EntryRejected(record.key, str(error))
            logevents.log(LOG, event)
            return
        self._apply_announcement(found, now)

    def _apply_announcement(
        self, found: documents.Announcement, now: float
    ) -> None:
        table = self.board.endpoints.value
        known = table.by_identity.get(found.identity)
        if known is None or is_other_start(known, found):
            if known is not None and found.started_ms < known.started_ms:
                return
            known = found.make_endpoint()
            table.add(known)
            _log(logevents.EndpointSeen, known)
        if found.announced < known.announced:
            return
        known.announced = found.announced
        known.removed_at = None
        known.zone = found.zone
        known.capacity = found.capacity
        if found.draining and known.leaving_since is None:
            known.leaving_since = now
            _log(logevents.EndpointLeaving, known)
        elif not found.draining:
            known.leaving_since = None
        if found.leaves_in_s is not None:
            known.gone_at = now + found.leaves_in_s
        known.announce(found.models, found.adapters, now)

    def _apply_placement(self, placed: messages.Placed) -> None:
        known = self.board.endpoints.value.by_identity.get(placed.identity)
        if known is not None:
            need = (placed.model, placed.adapter)
            known.place(need, placed.version, self.read_clock())
            self.board.arrivals.change(need)

    def _mark_removed(self, identity: str, now: float) -> None:
        known = self.board.endpoints.value.by_identity.get(identity)
        if known is None or known.removed_at is not None:
            return
        returning = now - self._recovered_at < RECOVERY_S
        known.removed_at = (
            self._recovered_at + RECOVERY_S if returning else now
        )
        _log(logevents.EndpointRemoved, known)

    def _mark_missing_removed(self, present: set[str], now: float) -> None:
        for identity in set(self.board.endpoints.value.by_identity) - present:
            self._mark_removed(identity, now)

    def _expire(self, now: float) -> None:
        table = self.board.endpoints.value
        gone = [
            item.identity
            for item in table.by_identity.values()
            if item.removed_at is not None
            and now > item.removed_at + RECOVERY_S
        ]
        for identity in gone:
            table.remove(identity)


def _log(
    kind: type[logevents.EndpointEvent], endpoint: endpoints.Endpoint
) -> None:
    event = kind(endpoint.identity, endpoint.service, endpoint.address)
    logevents.log(LOG, event)


def is_other_start(
    known: endpoints.Endpoint, found: documents.Announcement
) -> bool:
    """Return whether an entry belongs to another start of an endpoint."""
    return (
        known.started_ms != found.started_ms
        or known.address != found.address
        or known.service != found.service
    )
