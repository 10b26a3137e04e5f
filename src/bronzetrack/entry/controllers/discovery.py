"""Controller that keeps the table of endpoints up to date."""

from __future__ import annotations

import logging
import math

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import endpoints as endpoint_events
from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry import roles
from bronzetrack.entry.peering import views
from bronzetrack.entry.suspects import losses
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
# Time between two reads while entries return after an outage of the store.
RECOVERY_INTERVAL_S = 0.1
# Rate of these reads that all VMs together do not exceed.
RECOVERY_READS_PER_S = 800
# Entries that expired during an outage of the store return within about this
# time.
RECOVERY_S = 2.0


@roles.CONTROLLERS.register("discovery")
class DiscoveryController(roles.Controller):
    """Follows the entries of endpoints and the placements of the holder."""

    name = "discovery"
    _recovered_at = float("-inf")
    _view_source = views.ViewSource.OWN

    async def run(self) -> None:
        """Apply entries and placements until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_entries)
            group.start_soon(self._follow_placements)
            group.start_soon(self._follow_leaving)

    async def _follow_entries(self) -> None:
        entry_follower = follower.Follower(
            self.ports.store, names.SERVERS_TOPIC, 0.0, self.read_clock
        )
        started_at = self.read_clock()
        while True:
            change = await entry_follower.read()
            now = self.read_clock()
            self.write(self.board.store_read_at, change.as_of)
            if change.recovered:
                self._recovered_at = now
            self._apply_change(change, now)
            self.board.endpoints.value.expire(now)
            self._notify()
            if not change.records and self._is_behind(change.next_offset):
                await anyio.sleep(RECOVERY_INTERVAL_S)
            await self._await_next_read(
                change.next_offset, started_at, change.as_of
            )

    def _apply_change(self, change: follower.Change, now: float) -> None:
        """Apply the entries of one read."""
        source = endpoints.Source.ENTRY
        changed = []
        if change.snapshot:
            source = endpoints.Source.LISTING
            present = {item.key for item in change.records}
            if self._mark_missing_removed(present, now, change.restored):
                changed.append(change.next_offset)
        changed += [
            record.offset + 1
            for record in change.records
            if self._apply(record, now, source)
        ]
        table = self.board.endpoints.value
        table.read_offset = change.next_offset
        table.changed_offset = max([table.changed_offset, *changed])

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
            self._log_view(is_informed, now)
            if now >= due or self._is_behind(next_offset) and is_informed:
                return
            if is_informed:
                due = min(due, news_until)
            await blackboard.wait_any(
                section.is_newer(section.revision),
                rules.is_newer(rules.revision),
                timeout_ms=math.ceil(1000 * (due - now)),
            )

    def _is_behind(self, next_offset: int) -> bool:
        """Return whether a hub has read a change that this VM has not."""
        return self.board.membership.value.endpoint_offset > next_offset

    def _log_view(self, is_informed: bool, now: float) -> None:
        """Log whether this VM relies on hubs if that has changed."""
        source = views.ViewSource.HUB if is_informed else views.ViewSource.OWN
        if source is self._view_source:
            return
        self._view_source = source
        membership = self.board.membership.value
        event = endpoint_events.ViewChanged(
            source.value,
            logevents.round_time(now - membership.hub_heard_at),
            logevents.round_time(now - membership.endpoint_view_at),
        )
        logevents.log(LOG, event)

    def _choose_interval(self, started_at: float, now: float) -> float:
        """Return the time until the next read.

        A VM that has just started did not see an earlier outage, after which
        entries may still return. A service without any entry indicates one.
        """
        returning = now - self._recovered_at < RECOVERY_S
        starting = now - started_at < RECOVERY_S and self._lacks_entries()
        if returning or starting:
            vms = self.board.membership.value.peer_table.count_vms(now)
            return max(RECOVERY_INTERVAL_S, vms / RECOVERY_READS_PER_S)
        if self.board.endpoints.value.has_returning(now):
            return READ_INTERVAL_S
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
            for notice in mailbox.take():
                if isinstance(notice, endpoints.RemovalNotice):
                    self._apply_removal(notice)
                else:
                    self._apply_leaving(notice)

    def _apply_leaving(self, notice: endpoints.LeavingNotice) -> None:
        """Stop using an endpoint until another start of it is announced."""
        endpoint = self.board.endpoints.value.find(notice.identity)
        if endpoint is None or endpoint.start != notice.start:
            return
        if endpoint.departure is None:
            evidence = endpoints.Evidence(notice.source)
            _record_departure(endpoint, self.read_clock(), evidence)
            self._notify()

    def _apply_removal(self, notice: endpoints.RemovalNotice) -> None:
        """Stop using an endpoint unless its entry is newer than the news."""
        table = self.board.endpoints.value
        endpoint = table.by_identity.get(notice.identity)
        if endpoint is None or endpoint.start != notice.start:
            return
        if endpoint.announcement_count <= notice.announcement:
            endpoint.announcement_count = notice.announcement
            evidence = endpoints.Evidence(endpoints.Source.PEER)
            self._mark_removed(notice.identity, self.read_clock(), evidence)
            self._notify()

    def _tell(
        self, message: messages.EndpointLeaves | messages.EndpointGone
    ) -> None:
        """Tell the VMs that rely on this one what it has read first."""
        if self.board.membership.value.is_hub:
            self.board.outgoing.post(message)

    def _notify(self) -> None:
        self.write(self.board.endpoints, self.board.endpoints.value)

    def _apply(
        self,
        record: stores.KeyedRecord,
        now: float,
        source: endpoints.Source = endpoints.Source.ENTRY,
    ) -> bool:
        """Apply an entry.

        :returns: whether the endpoint came, left or changed its state
        """
        evidence = endpoints.Evidence(source, record.offset)
        if record.value is None:
            self._mark_removed(record.key, now, evidence)
            return True
        try:
            announcement = documents.decode_announcement(
                record.key, record.value
            )
        except documents.DocumentError as error:
            event = endpoint_events.EntryRejected(record.key, str(error))
            logevents.log(LOG, event)
            return False
        return self._apply_announcement(announcement, now, evidence)

    def _apply_announcement(
        self,
        announcement: documents.Announcement,
        now: float,
        evidence: endpoints.Evidence,
    ) -> bool:
        table = self.board.endpoints.value
        known = table.find(announcement.identity)
        is_new = known is None or is_other_start(known, announcement)
        if known is not None and is_outdated(known, announcement):
            _log_ignored(known, announcement, evidence)
            return False
        endpoint = announcement.make_endpoint() if is_new else known
        if not self._is_back(endpoint, announcement, now):
            return False
        if table.by_identity.get(endpoint.identity) is not endpoint:
            table.add(endpoint)
            _log(endpoint_events.EndpointSeen, endpoint, evidence)
            self.board.endpoint_starts.post(
                losses.EndpointStart(
                    endpoint.identity, endpoint.start, endpoint.address
                )
            )
        state = _summarize(endpoint)
        endpoint.announcement_count = announcement.announcement_count
        endpoint.removed_at = None
        endpoint.is_lost = False
        endpoint.returned = None
        endpoint.zone = announcement.zone
        endpoint.capacity = announcement.capacity
        endpoint.draining = announcement.draining
        if announcement.draining and endpoint.departure is None:
            _record_departure(endpoint, now, evidence)
            self._tell(
                messages.EndpointLeaves(endpoint.identity, endpoint.start)
            )
        if announcement.stops_in_s is not None:
            endpoint.stops_at = now + announcement.stops_in_s
        endpoint.apply_announcement(
            announcement.models, announcement.adapters, now
        )
        return is_new or state != _summarize(endpoint)

    def _is_back(
        self,
        endpoint: endpoints.Endpoint,
        announcement: documents.Announcement,
        now: float,
    ) -> bool:
        """Return whether an announcement shows that an endpoint is there.

        After an outage of the store, entries that lapsed return at once.
        """
        if now - self._recovered_at < RECOVERY_S:
            return True
        return endpoint.confirm_return(announcement.announcement_count, now)

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

    def _mark_removed(
        self, identity: str, now: float, evidence: endpoints.Evidence
    ) -> bool:
        """Record that an endpoint has no entry, and return whether it had."""
        endpoint = self.board.endpoints.value.by_identity.get(identity)
        if endpoint is None or endpoint.removed_at is not None:
            return False
        returning = now - self._recovered_at < RECOVERY_S
        endpoint.removed_at = (
            self._recovered_at + RECOVERY_S if returning else now
        )
        _log(endpoint_events.EndpointRemoved, endpoint, evidence)
        if not returning and evidence.source is not endpoints.Source.PEER:
            self._tell(
                messages.EndpointGone(
                    identity, endpoint.start, endpoint.announcement_count
                )
            )
        return True

    def _mark_missing_removed(
        self, present: set[str], now: float, is_restored: bool
    ) -> bool:
        """Record which endpoints a listing lacks.

        :param is_restored: whether the listing is of an older copy, which may
            lack endpoints that are there
        :returns: whether there was any that had an entry before
        """
        evidence = endpoints.Evidence(endpoints.Source.LISTING)
        table = self.board.endpoints.value
        removed = [
            identity
            for identity in set(table.by_identity) - present
            if self._mark_removed(identity, now, evidence)
        ]
        for identity in removed:
            table.by_identity[identity].is_lost = is_restored
        return bool(removed)


def _record_departure(
    endpoint: endpoints.Endpoint, now: float, evidence: endpoints.Evidence
) -> None:
    """Record that this start of an endpoint leaves."""
    endpoint.departure = endpoints.Departure(now, evidence)
    _log(endpoint_events.EndpointLeaving, endpoint, evidence)


def _log(
    kind: type[endpoint_events.EndpointEvent],
    endpoint: endpoints.Endpoint,
    evidence: endpoints.Evidence,
) -> None:
    """Log and count a change of an endpoint and how this VM learnt of it."""
    source = evidence.source.value
    meters.ENDPOINT_NEWS.labels(kind.event, source).inc()
    event = kind(
        endpoint=endpoint.identity,
        service=endpoint.service,
        address=endpoint.address,
        start_ms=endpoint.started_ms,
        announcement=endpoint.announcement_count,
        source=source,
        offset=evidence.log_offset,
    )
    logevents.log(LOG, event)


def _log_ignored(
    endpoint: endpoints.Endpoint,
    announcement: documents.Announcement,
    evidence: endpoints.Evidence,
) -> None:
    event = endpoint_events.EntryIgnored(
        endpoint=endpoint.identity,
        start_ms=announcement.started_ms,
        announcement=announcement.announcement_count,
        known_start_ms=endpoint.started_ms,
        known_announcement=endpoint.announcement_count,
        source=evidence.source.value,
        offset=evidence.log_offset,
    )
    logevents.log(LOG, event)


def _summarize(endpoint: endpoints.Endpoint) -> tuple[bool, bool, bool, int]:
    """Return what decides whether an endpoint may be used at all."""
    return (
        endpoint.removed_at is None,
        endpoint.draining,
        endpoint.stops_at is None,
        endpoint.capacity,
    )


def is_outdated(
    known: endpoints.Endpoint, announcement: documents.Announcement
) -> bool:
    """Return whether an announcement is older than what is known."""
    if is_other_start(known, announcement):
        return announcement.started_ms < known.started_ms
    return known.is_outdated(announcement.announcement_count)


def is_other_start(
    endpoint: endpoints.Endpoint, announcement: documents.Announcement
) -> bool:
    """Return whether an entry belongs to another start of an endpoint."""
    return (
        endpoint.started_ms != announcement.started_ms
        or endpoint.address != announcement.address
        or endpoint.service != announcement.service
    )
