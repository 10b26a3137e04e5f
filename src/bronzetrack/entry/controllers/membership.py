"""Controller that discovers the other VMs and exchanges reports with them."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import Any

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import fleet as fleet_events
from bronzetrack.entry import endpoints
from bronzetrack.entry import leases
from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.entry.peering import announcements
from bronzetrack.entry.peering import datagrams
from bronzetrack.entry.peering import digests
from bronzetrack.entry.peering import hubs
from bronzetrack.entry.peering import news
from bronzetrack.entry.peering import peers as peer_tables
from bronzetrack.entry.peering import placementdigests
from bronzetrack.entry.peering import reporting

LOG = logging.getLogger(__name__)
# Time between two reports of the adapters in use to the holder of the lease.
USES_INTERVAL_S = 0.05
# A report is repeated after this time, since it may be lost.
USES_REPEAT_S = 0.2
# Longest time between two reports while an adapter is in use.
USES_REFRESH_S = 1.0


@roles.CONTROLLERS.register("membership")
class MembershipController(roles.Controller):
    """Maintains the state of the other VMs."""

    name = "membership"
    _sender: datagrams.DatagramSender

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._reporter = reporting.Reporter(self.board, self.read_clock())
        self._alive: set[str] = set()
        self.announcements = announcements.Announcements(
            self.board, self.ports.store, self.read_clock, self._notify
        )
        self._news = news.NewsQueue()

    async def run(self) -> None:
        """Listen for datagrams, announce this VM and send reports."""
        settings = self.board.settings
        self.board.membership.value.peer_table.is_joining = True
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: datagrams.DatagramProtocol(self.receive),
            local_addr=(settings.peer_ip, settings.peer_port),
        )
        self._sender = datagrams.DatagramSender(self.board, protocol)
        self._reporter.sender = self._sender
        async with anyio.create_task_group() as group:
            group.start_soon(self.announcements.announce)
            group.start_soon(self.announcements.follow)
            group.start_soon(self._send_reports)
            group.start_soon(self._send_digests)
            group.start_soon(self._send_outgoing)
            group.start_soon(self._send_news)
            group.start_soon(self._send_uses)

    # Datagrams of other VMs.

    def receive(self, data: bytes, addr: Any) -> None:
        """Decode and apply a datagram.

        :param addr: address of the sender
        """
        try:
            message = messages.decode(data)
            if isinstance(message, messages.Bundle):
                items = list(map(messages.decode, message.items))
            else:
                items = [message]
            for item in items:
                self._apply_message(item, addr)
        except messages.MessageError as error:
            logevents.log(LOG, fleet_events.DatagramRejected(str(error)))

    def _apply_message(self, message: Any, addr: Any) -> None:
        match message:
            case messages.Heartbeat():
                self._apply_heartbeat(message, addr)
            case messages.LoadDigest():
                self._apply_load_digest(message, addr)
            case messages.MemberDigest():
                self._apply_member_digest(message)
            case messages.UsageReport():
                self._apply_uses(message)
            case messages.LoadRequest():
                self.board.load_requests.post(message)
            case (
                messages.CrashReport()
                | messages.SuspectReport()
                | messages.KeysCleared()
            ):
                self.board.crash_messages.post(message)
            case messages.CreditRequest() | messages.CreditGrant():
                self._receive_credit(message, addr)
            case messages.HoldingChange():
                self.board.placed.post(message)
            case messages.PlacementDigest():
                self._apply_placements(message)
            case messages.EndpointLeaves():
                notice = endpoints.LeavingNotice(
                    message.identity, message.start, endpoints.Source.PEER
                )
                self.board.leaving.post(notice)
            case messages.EndpointGone():
                self.board.leaving.post(
                    endpoints.RemovalNotice(
                        message.identity, message.start, message.announcement
                    )
                )

    def _receive_credit(
        self,
        message: messages.CreditRequest | messages.CreditGrant,
        addr: Any,
    ) -> None:
        vm = self.board.membership.value.peer_table.find_sender(addr)
        if vm is not None:
            self.board.credit_messages.post(messages.Received(vm, message))

    def _apply_placements(self, digest: messages.PlacementDigest) -> None:
        identities = self.board.endpoints.value.by_identity
        for change in placementdigests.decode(digest, identities):
            self.board.placed.post(change)

    def _apply_heartbeat(
        self, heartbeat: messages.Heartbeat, addr: Any
    ) -> None:
        peer = self._update_peer(heartbeat, addr)
        peer.subscribed_at = peer.last_heartbeat_at
        peer.active = heartbeat.active
        peer.work_ms = digests.name_work(heartbeat.active, heartbeat.work)
        self._apply_lease_report(heartbeat)

    def _update_peer(
        self, message: messages.Heartbeat | messages.LoadDigest, addr: Any
    ) -> peer_tables.Peer:
        """Update the sender of a message, and add it if it is new."""
        now = self.read_clock()
        peers = self.board.membership.value.peer_table.peers
        peer = peers.get(message.vm)
        if peer is None or peer.address != addr:
            peer = peers[message.vm] = peer_tables.Peer(
                message.vm, message.caller_address, addr, message.zone, now
            )
        state = (message.ready, message.stopping, message.joining)
        is_changed = not peer.is_alive(now) or state != peer.state
        peer.last_heartbeat_at = now
        peer.state = state
        if is_changed:
            self._reporter.changed.add(peer.vm)
            self._notify()
        return peer

    def _apply_lease_report(self, message: messages.VmReport) -> None:
        report = leases.LeaseReport(
            message.lease_end, message.holder, message.lease_released
        )
        membership = self.board.membership.value
        merged = membership.lease_report.merge(report)
        if merged != membership.lease_report:
            membership.lease_report = merged
            self._notify()

    def _apply_load_digest(
        self, digest: messages.LoadDigest, addr: Any
    ) -> None:
        now = self.read_clock()
        membership = self.board.membership.value
        identities = self.board.endpoints.value.by_identity
        try:
            totals = digests.decode_counts(digest.totals, identities)
            work_ms = digests.decode_work(
                digest.work, digest.totals, identities
            )
        except ValueError as error:
            raise messages.MessageError(f"invalid totals: {error}") from error
        self._update_peer(digest, addr)
        membership.hub_heard_at = now
        membership.operator_view_at = max(
            membership.operator_view_at, now - digest.operator_age_ms / 1000
        )
        membership.endpoint_view_at = max(
            membership.endpoint_view_at, now - digest.endpoint_age_ms / 1000
        )
        if digest.holder and digest.holder_host:
            membership.holder_address = (
                digest.holder,
                (digest.holder_host, digest.holder_port),
            )
        self._reporter.totals.record(digest.vm, totals, now)
        self._reporter.work.record(digest.vm, work_ms, now)
        self._reporter.merge_totals(now)
        self._apply_lease_report(digest)
        if (
            digest.operator_offset > membership.operator_offset
            or digest.endpoint_offset > membership.endpoint_offset
        ):
            membership.operator_offset = max(
                digest.operator_offset, membership.operator_offset
            )
            membership.endpoint_offset = max(
                digest.endpoint_offset, membership.endpoint_offset
            )
            self._notify()

    def _apply_member_digest(self, digest: messages.MemberDigest) -> None:
        now = self.read_clock()
        try:
            members = digests.decode_members(digest.members)
        except ValueError as error:
            raise messages.MessageError(f"invalid members: {error}") from error
        membership = self.board.membership.value
        membership.members_heard_at = now
        table = membership.peer_table
        by_key = {peer.key: peer for peer in table.peers.values()}
        self.announcements.record_members(members, now)
        changed = [
            digests.apply_member(by_key[member.key], member, now)
            for member in members
            if member.key in by_key
        ]
        if any(changed):
            self._notify()

    def _apply_uses(self, message: messages.UsageReport) -> None:
        peer = self.board.membership.value.peer_table.peers.get(message.vm)
        if peer is not None:
            peer.uses = set(message.list_uses())

    # Reports to other VMs.

    async def _send_reports(self) -> None:
        for tick in itertools.count():
            now = self.read_clock()
            self._reporter.send_heartbeats(now)
            self._reporter.update_totals(now)
            if tick % hubs.SILENT_TICKS == 0:
                self._reporter.send_to_silent(now)
            self._reporter.send_changed_members(now)
            self._check_alive(now)
            self.announcements.update(now)
            await self._await_tick(now + hubs.HEARTBEAT_INTERVAL_S)

    async def _send_digests(self) -> None:
        """Send digests while this VM is a hub."""
        sent_at = self.read_clock()
        while True:
            is_hub = self.board.membership.value.is_hub
            await anyio.sleep(
                hubs.DIGEST_SLOT_S if is_hub else hubs.HEARTBEAT_INTERVAL_S
            )
            now = self.read_clock()
            self._reporter.send_digests(sent_at, now)
            sent_at = now

    async def _await_tick(self, due: float) -> None:
        """Wait until the next tick and report changes of the lease at once.

        Demands are sent to the holder, and a released lease waits for its
        next holder. The wait also ends when this VM becomes ready or stops.
        """
        section = self.board.lease
        lifecycle = self.board.lifecycle
        revision = lifecycle.revision
        lease = section.value
        sent = (lease.holder, lease.released)
        while (now := self.read_clock()) < due:
            if lifecycle.revision > revision:
                return
            await blackboard.wait_any(
                section.is_newer(section.revision),
                lifecycle.is_newer(revision),
                timeout_ms=max(1, int(1000 * (due - now))),
            )
            lease = section.value
            if (lease.holder, lease.released) == sent:
                continue
            now = self.read_clock()
            if self.board.settings.vm in (sent[0], lease.holder):
                self._reporter.send_heartbeats(now)
            sent = (lease.holder, lease.released)
            self._reporter.send_lease(now)

    def _check_alive(self, now: float) -> None:
        """Notify others when VMs have fallen silent."""
        membership = self.board.membership.value
        alive = {peer.vm for peer in membership.peer_table.list_alive(now)}
        if alive == self._alive:
            return
        event = fleet_events.FleetChanged(
            len(alive),
            membership.peer_table.count_vms(now) - 1,
            len(self._alive - alive),
            logevents.round_time(now - membership.members_heard_at),
        )
        logevents.log(LOG, event)
        self._alive = alive
        self._notify()

    async def _send_uses(self) -> None:
        """Report the adapters in use to the holder when they change."""
        notifier = self.board.uses_notifier
        lease = self.board.lease
        sent: tuple[str, dict[str, dict[str, list[str]]]] = ("", {})
        while True:
            count = notifier.count
            uses = self._collect_uses()
            current = (lease.value.holder, uses)
            if current != sent or uses:
                self._sender.send_to_holder(
                    messages.UsageReport(self.board.settings.vm, uses)
                )
            pause_s = USES_REPEAT_S if current != sent else USES_REFRESH_S
            is_settled = current == sent and not uses
            sent = current
            await anyio.sleep(USES_INTERVAL_S)
            await blackboard.wait_any(
                notifier.is_newer(count),
                lease.satisfies(lambda value: value.holder != sent[0]),
                timeout_ms=None if is_settled else int(1000 * pause_s),
            )

    def _collect_uses(self) -> dict[str, dict[str, list[str]]]:
        """Return the adapters in use, by endpoint and model."""
        uses: dict[str, dict[str, list[str]]] = {}
        for identity, item in self.board.traffic.value.by_identity.items():
            for model, adapter in item.uses:
                by_model = uses.setdefault(identity, {})
                by_model.setdefault(model, []).append(adapter)
        return uses

    async def _send_outgoing(self) -> None:
        mailbox = self.board.outgoing
        while True:
            await mailbox.wait_items()
            for message in filter(
                None, map(self._send_directly, mailbox.take())
            ):
                self._news.add(message)

    async def _send_news(self) -> None:
        """Send messages to all VMs; what comes meanwhile is gathered."""
        notifier = self._news.notifier
        while True:
            count = notifier.count
            if self._news.is_empty():
                await blackboard.wait_any(notifier.is_newer(count))
            table = self.board.membership.value.peer_table
            recipients = table.list_alive(self.read_clock())
            items = self._news.take(self._sender.limit_round(len(recipients)))
            await self._sender.spread(items, recipients)

    def _send_directly(self, message: Any) -> Any:
        """Send a message that has one recipient.

        :returns: the message if it is for all VMs, None otherwise
        """
        match message:
            case messages.LoadRequest():
                self._sender.send_to_holder(message)
            case messages.Addressed():
                self._sender.send_to_vm(message.vm, message.message)
            case _:
                return message
        return None

    def _notify(self) -> None:
        self.write(self.board.membership, self.board.membership.value)
