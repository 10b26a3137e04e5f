"""Controller that keeps the table of endpoints up to date."""

from __future__ import annotations

import logging
import math

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
# Time between two reads while hubs tell this VM of endpoints that come, leave
# or change their state. What else the entries hold, messages tell it.
INFORMED_READ_INTERVAL_S = 10.0
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
            group.start_soon(self._follow_leaving)

    async def _follow_entries(self) -> None:
        entry_follower = follower.Follower(
            self.ports.store, names.SERVERS_TOPIC, READ_WAIT_S, self.read_clock
        )
        started_at = self.read_clock()
        while True:
            change = await entry_follower.read()
            now = self.read_clock()
            self.write(self.board.store_read_at, now)
            if change.recovered:
                self._recovered_at = now
            if change.snapshot:
                self._mark_missing_removed(
                    {item.key for item in change.records}, now
                )
            changed = [
                record.offset + 1
                for record in change.records
                if self._apply(record, now)
            ]
            table = self.board.endpoints.value
            table.changed_offset = max([table.changed_offset, *changed])
            self._expire(now)
            self._notify()
            await self._await_next_read(
                entry_follower.next_offset, started_at, now
            )

    async def _await_next_read(
        self, next_offset: int, started_at: float, read_at: float
    ) -> None:
        """Wait until the entries must be read again."""
        section = self.board.membership
        rules = self.board.rules
        while True:
            now = self.read_clock()
            due = read_at + self._choose_interval(started_at, now)
            news_until = section.value.endpoint_news_until
            is_informed = now < news_until
            is_behind = section.value.endpoint_offset > next_offset
            if now >= due or is_behind and is_informed:
                return
            if is_informed:
                due = min(due, news_until)
            await blackboard.wait_any(
                section.is_newer(section.revision),
                rules.is_newer(rules.revision),
                timeout_ms=math.ceil(1000 * (due - now)),
            )

    def _choose_interval(self, started_at: float, now: float) -> float:
        """Return the time until the next read.

        A VM that has just started did not see an earlier outage, after which
        entries may still return. A service without any entry indicates one.
        """
        returning = now - self._recovered_at < RECOVERY_S
        starting = now - started_at < RECOVERY_S and self._lacks_entries()
        if returning or starting:
            return RECOVERY_INTERVAL_S
        if now < self.board.membership.value.endpoint_news_until:
            return INFORMED_READ_INTERVAL_S
        return READ_INTERVAL_S

    def _lacks_entries(self) -> bool:
        """Return whether a service of the configuration has no endpoint."""
        configuration = self.board.rules.value.configuration
        if configuration is None:
            return False
        table = self.board.endpoints.value
        return not all(map(table.list_service, configuration.services))

    async def _follow_placements(self) -> None:
        mailbox = self.board.placed
        while True:
            await blackboard.wait_any(mailbox.is_not_empty())
            for holding_change in mailbox.take():
                self._apply_placement(holding_change)

    async def _follow_leaving(self) -> None:
        mailbox = self.board.leaving
        while True:
            await mailbox.wait_items()
            for message in mailbox.take():
                self._apply_leaving(message)

    def _apply_leaving(self, message: messages.EndpointLeaves) -> None:
        """Stop using an endpoint until another start of it is announced."""
        endpoint = self.board.endpoints.value.by_identity.get(message.identity)
        if endpoint is None or endpoint.start != message.start:
            return
        if not endpoint.has_said_leaving:
            endpoint.has_said_leaving = True
            _log(logevents.EndpointLeaving, endpoint)
            self._notify()

    def _notify(self) -> None:
        self.write(self.board.endpoints, self.board.endpoints.value)

    def _apply(self, record: stores.KeyedRecord, now: float) -> bool:
        """Apply an entry.

        :returns: whether the endpoint came, left or changed its state
        """
        if record.value is None:
            self._mark_removed(record.key, now)
            return True
        try:
            announcement = documents.decode_announcement(
                record.key, record.value
            )
        except documents.DocumentError as error:
            event = logevents.EntryRejected(record.key, str(error))
            logevents.log(LOG, event)
            return False
        return self._apply_announcement(announcement, now)

    def _apply_announcement(
        self, announcement: documents.Announcement, now: float
    ) -> bool:
        table = self.board.endpoints.value
        endpoint = table.by_identity.get(announcement.identity)
        is_new = endpoint is None or is_other_start(endpoint, announcement)
        if endpoint is None or is_new:
            if (
                endpoint is not None
                and announcement.started_ms < endpoint.started_ms
            ):
                return False
            endpoint = announcement.make_endpoint()
            table.add(endpoint)
            _log(logevents.EndpointSeen, endpoint)
        if announcement.announcement_count < endpoint.announcement_count:
            return False
        state = _summarize(endpoint)
        endpoint.announcement_count = announcement.announcement_count
        endpoint.removed_at = None
        endpoint.zone = announcement.zone
        endpoint.capacity = announcement.capacity
        if announcement.draining and endpoint.leaving_since is None:
            endpoint.leaving_since = now
            _log(logevents.EndpointLeaving, endpoint)
        elif not announcement.draining:
            endpoint.leaving_since = None
        if announcement.stops_in_s is not None:
            endpoint.stops_at = now + announcement.stops_in_s
        endpoint.apply_announcement(
            announcement.models, announcement.adapters, now
        )
        return is_new or state != _summarize(endpoint)

    def _apply_placement(self, holding_change: messages.HoldingChange) -> None:
        endpoint = self.board.endpoints.value.by_identity.get(
            holding_change.identity
        )
        if endpoint is not None:
            model_key = (holding_change.model, holding_change.adapter)
            endpoint.apply_placement(
                model_key, holding_change.version, self.read_clock()
            )
            self.board.holder_notifiers.change(model_key)

    def _mark_removed(self, identity: str, now: float) -> None:
        endpoint = self.board.endpoints.value.by_identity.get(identity)
        if endpoint is None or endpoint.removed_at is not None:
            return
        returning = now - self._recovered_at < RECOVERY_S
        endpoint.removed_at = (
            self._recovered_at + RECOVERY_S if returning else now
        )
        _log(logevents.EndpointRemoved, endpoint)

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


def _summarize(endpoint: endpoints.Endpoint) -> tuple[bool, bool, bool, int]:
    """Return what decides whether an endpoint may be used at all."""
    return (
        endpoint.removed_at is None,
        endpoint.leaving_since is None,
        endpoint.stops_at is None,
        endpoint.capacity,
    )


def is_other_start(
    endpoint: endpoints.Endpoint, announcement: documents.Announcement
) -> bool:
    """Return whether an entry belongs to another start of an endpoint."""
    return (
        endpoint.started_ms != announcement.started_ms
        or endpoint.address != announcement.address
        or endpoint.service != announcement.service
    )
