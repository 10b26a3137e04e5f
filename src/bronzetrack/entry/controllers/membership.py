"""Controller that discovers the other VMs and exchanges heartbeats."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import messages
from bronzetrack.entry import peers as peer_tables
from bronzetrack.entry import roles
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
# Longest time between two heartbeats.
HEARTBEAT_INTERVAL_S = 0.3
# Time between two reports of the adapters in use to the holder of the lease.
USES_INTERVAL_S = 0.05
# Time between two such reports while no adapter is in use.
IDLE_USES_INTERVAL_S = 0.1
# Longest wait of one read. Announcements never expire, so that long waits
# suffice.
READ_WAIT_S = 20.0
# Delay after a failed announcement.
RETRY_S = 0.5


class Datagrams(asyncio.DatagramProtocol):
    """Datagram protocol that passes datagrams to the controller."""

    def __init__(self, controller: MembershipController) -> None:
        self._controller = controller
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the controller."""
        self._controller.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors; missing heartbeats show that a VM does not listen."""


@roles.CONTROLLERS.register("membership")
class MembershipController(roles.Controller):
    """Maintains the state of the other VMs."""

    name = "membership"
    _datagrams: Datagrams

    async def run(self) -> None:
        """Listen for datagrams, announce this VM and send heartbeats."""
        settings = self.board.settings
        loop = asyncio.get_running_loop()
        _, self._datagrams = await loop.create_datagram_endpoint(
            lambda: Datagrams(self),
            local_addr=(settings.peer_ip, settings.peer_port),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._announce)
            group.start_soon(self._follow)
            group.start_soon(self._send_heartbeats)
            group.start_soon(self._send_outgoing)
            group.start_soon(self._send_uses)

    async def _announce(self) -> None:
        settings = self.board.settings
        addresses = messages.VmAddresses(
            caller_address=settings.front,
            host=settings.peer_ip,
            port=settings.peer_port,
            zone=settings.zone,
        )
        value = messages.encode_vm_addresses(addresses)
        while True:
            try:
                await self.ports.store.put(
                    names.STATUS_TOPIC, settings.vm, value
                )
                return
            except stores.StoreError as error:
                logevents.log(LOG, logevents.AnnounceFailed(str(error)))
                await anyio.sleep(RETRY_S)

    async def _follow(self) -> None:
        status_follower = follower.Follower(
            self.ports.store, names.STATUS_TOPIC, READ_WAIT_S, self.read_clock
        )
        while True:
            change = await status_follower.read()
            for record in change.records:
                self._apply(record)
            self._notify()

    def _apply(self, record: stores.KeyedRecord) -> None:
        if record.value is None or record.key == self.board.settings.vm:
            return
        try:
            addresses = messages.decode_vm_addresses(record.value)
        except messages.MessageError as error:
            event = logevents.AnnouncementRejected(record.key, str(error))
            logevents.log(LOG, event)
            return
        peers = self.board.membership.value.peer_table.peers
        peer = peers.get(record.key)
        now = self.read_clock()
        address = (addresses.host, addresses.port)
        if peer is not None and peer.address == address:
            peer.announced_at = now
            return
        peers[record.key] = peer_tables.Peer(
            record.key, addresses.caller_address, address, addresses.zone, now
        )

    def receive(self, data: bytes, addr: Any) -> None:
        """Decode and apply a datagram.

        :param addr: address of the sender
        """
        try:
            message = messages.decode(data)
        except messages.MessageError as error:
            logevents.log(LOG, logevents.DatagramRejected(str(error)))
            return
        match message:
            case messages.Heartbeat():
                self._apply_heartbeat(message, addr)
            case messages.UsageReport():
                self._apply_uses(message)
            case messages.LoadRequest():
                self.board.load_requests.post(message)
            case messages.ConnectionLoss():
                self.board.losses.post(message)
            case messages.HoldingChange():
                self.board.placed.post(message)

    def _apply_heartbeat(
        self, heartbeat: messages.Heartbeat, addr: Any
    ) -> None:
        now = self.read_clock()
        membership = self.board.membership.value
        peer = membership.peer_table.peers.get(heartbeat.vm)
        if peer is None or peer.address != addr:
            peer = peer_tables.Peer(
                heartbeat.vm,
                heartbeat.caller_address,
                addr,
                heartbeat.zone,
                now,
            )
            membership.peer_table.peers[heartbeat.vm] = peer
        peer.last_heartbeat_at = now
        peer.ready = heartbeat.ready
        peer.stopping = heartbeat.stopping
        peer.incarnation = heartbeat.incarnation
        peer.active = heartbeat.active
        peer.lease_end = heartbeat.lease_end
        peer.holder = heartbeat.holder
        peer.lease_released = heartbeat.lease_released
        self._sum_active(now)
        self._notify()

    def _apply_uses(self, message: messages.UsageReport) -> None:
        peer = self.board.membership.value.peer_table.peers.get(message.vm)
        if peer is not None:
            peer.uses = set(message.list_uses())

    def _sum_active(self, now: float) -> None:
        membership = self.board.membership.value
        total: dict[str, int] = {}
        for peer in membership.peer_table.list_alive(now):
            for identity, count in peer.active.items():
                total[identity] = total.get(identity, 0) + count
        membership.active = total

    async def _send_heartbeats(self) -> None:
        while True:
            now = self.read_clock()
            data = messages.encode(self._make_heartbeat())
            for peer in self.board.membership.value.peer_table.peers.values():
                if peer.needs_heartbeats(now):
                    self._send(data, peer.address)
            self._sum_active(now)
            # A change of the lease is sent at once, because demands are sent
            # to the holder and a released lease waits for its next holder.
            await blackboard.wait_any(
                self.board.lease.is_newer(self.board.lease.revision),
                timeout_ms=int(1000 * HEARTBEAT_INTERVAL_S),
            )

    def _make_heartbeat(self) -> messages.Heartbeat:
        board = self.board
        lease = board.lease.value
        lifecycle = board.lifecycle.value
        by_identity = board.traffic.value.by_identity
        return messages.Heartbeat(
            vm=board.settings.vm,
            incarnation=board.incarnation,
            caller_address=board.settings.front,
            zone=board.settings.zone,
            ready=lifecycle.ready,
            stopping=lifecycle.stopping_since is not None,
            lease_end=lease.end,
            holder=lease.holder,
            lease_released=lease.released,
            active={
                identity: item.active
                for identity, item in by_identity.items()
                if item.active
            },
        )

    async def _send_uses(self) -> None:
        sent: dict[str, dict[str, list[str]]] = {}
        while True:
            await anyio.sleep(
                USES_INTERVAL_S if sent else IDLE_USES_INTERVAL_S
            )
            uses = self._collect_uses()
            if uses or sent:
                self._send_to_holder(
                    messages.UsageReport(self.board.settings.vm, uses)
                )
            sent = uses

    def _collect_uses(self) -> dict[str, dict[str, list[str]]]:
        """Return the adapters in use, by endpoint and model."""
        uses: dict[str, dict[str, list[str]]] = {}
        for identity, item in self.board.traffic.value.by_identity.items():
            for model, adapter in item.uses:
                by_model = uses.setdefault(identity, {})
                by_model.setdefault(model, []).append(adapter)
        return uses

    def _send_to_holder(self, message: Any) -> None:
        peers = self.board.membership.value.peer_table.peers
        holder = peers.get(self.board.lease.value.holder)
        if holder is not None:
            self._send(messages.encode(message), holder.address)

    async def _send_outgoing(self) -> None:
        mailbox = self.board.outgoing
        while True:
            await blackboard.wait_any(mailbox.is_not_empty())
            for message in mailbox.take():
                self._send_message(message)

    def _send_message(self, message: Any) -> None:
        if isinstance(message, messages.LoadRequest):
            self._send_to_holder(message)
            return
        peers = self.board.membership.value.peer_table.peers
        data = messages.encode(message)
        now = self.read_clock()
        for peer in peers.values():
            if peer.is_alive(now):
                self._send(data, peer.address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self._datagrams.transport.sendto(data, address)

    def _notify(self) -> None:
        self.write(self.board.membership, self.board.membership.value)
