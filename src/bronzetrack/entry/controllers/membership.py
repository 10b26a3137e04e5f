"""Announces this VM, finds the others and exchanges heartbeats."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import members
from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
HEARTBEAT_S = 0.3
# The holder of the lease hears of adapters in use at least this often.
USES_S = 0.05
# The same while nothing is in progress.
IDLE_USES_S = 0.1
# Announcements are kept for ever, so that they are rarely read.
WAIT_S = 20.0
RETRY_S = 0.5


class Datagrams(asyncio.DatagramProtocol):
    """Receives datagrams and hands them to the controller."""

    def __init__(self, controller: MembershipController) -> None:
        self._controller = controller
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Deliver a datagram."""
        self._controller.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a VM does not listen; heartbeats show that."""


@roles.CONTROLLERS.register("membership")
class MembershipController(roles.Controller):
    """Knows the other VMs."""

    name = "membership"
    _datagrams: Datagrams

    async def run(self) -> None:
        """Listen, announce, and send heartbeats."""
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
        contact = messages.Contact(
            front=settings.front,
            host=settings.peer_ip,
            port=settings.peer_port,
            zone=settings.zone,
        )
        value = messages.encode_contact(contact)
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
        following = follower.Follower(
            self.ports.store, names.STATUS_TOPIC, WAIT_S, self.read_clock
        )
        while True:
            change = await following.read()
            for record in change.records:
                self._apply(record)
            self._notify()

    def _apply(self, record: stores.KeyedRecord) -> None:
        if record.value is None or record.key == self.board.settings.vm:
            return
        try:
            found = messages.decode_contact(record.value)
        except messages.MessageError as error:
            event = logevents.AnnouncementRejected(record.key, str(error))
            logevents.log(LOG, event)
            return
        peers = self.board.membership.value.members.peers
        known = peers.get(record.key)
        now = self.read_clock()
        address = (found.host, found.port)
        if known is not None and known.address == address:
            known.announced_at = now
            return
        peers[record.key] = members.Peer(
            record.key, found.front, address, found.zone, now
        )

    def receive(self, data: bytes, addr: Any) -> None:
        """Take in a datagram."""
        try:
            message = messages.decode(data)
        except messages.MessageError as error:
            logevents.log(LOG, logevents.DatagramRejected(str(error)))
            return
        match message:
            case messages.Heartbeat():
                self._apply_heartbeat(message, addr)
            case messages.Uses():
                self._apply_uses(message)
            case messages.Want():
                self.board.wanted.post(message)
            case messages.Loss():
                self.board.losses.post(message)
            case messages.Placed():
                self.board.placed.post(message)

    def _apply_heartbeat(self, beat: messages.Heartbeat, addr: Any) -> None:
        now = self.read_clock()
        membership = self.board.membership.value
        peer = membership.members.peers.get(beat.vm)
        if peer is None or peer.address != addr:
            peer = members.Peer(beat.vm, beat.front, addr, beat.zone, now)
            membership.members.peers[beat.vm] = peer
        peer.heard_at = now
        peer.ready = beat.ready
        peer.stopping = beat.stopping
        peer.incarnation = beat.incarnation
        peer.active = beat.active
        peer.lease_end = beat.lease_end
        peer.holder = beat.holder
        peer.lease_released = beat.lease_released
        self._sum_active(now)
        self._notify()

    def _apply_uses(self, message: messages.Uses) -> None:
        peer = self.board.membership.value.members.peers.get(message.vm)
        if peer is not None:
            peer.uses = set(message.list_uses())

    def _sum_active(self, now: float) -> None:
        membership = self.board.membership.value
        total: dict[str, int] = {}
        for peer in membership.members.list_alive(now):
            for identity, count in peer.active.items():
                total[identity] = total.get(identity, 0) + count
        membership.active = total

    async def _send_heartbeats(self) -> None:
        while True:
            now = self.read_clock()
            data = messages.encode(self._make_heartbeat())
            for peer in self.board.membership.value.members.peers.values():
                if peer.is_worth_telling(now):
                    self._send(data, peer.address)
            self._sum_active(now)
            # A change of the lease goes out at once: demands follow the
            # holder, and a released lease waits for the next one.
            await blackboard.wait_any(
                self.board.lease.is_newer(self.board.lease.revision),
                timeout_ms=int(1000 * HEARTBEAT_S),
            )

    def _make_heartbeat(self) -> messages.Heartbeat:
        board = self.board
        lease = board.lease.value
        life = board.lifecycle.value
        by_identity = board.traffic.value.by_identity
        return messages.Heartbeat(
            vm=board.settings.vm,
            incarnation=board.incarnation,
            front=board.settings.front,
            zone=board.settings.zone,
            ready=life.ready,
            stopping=life.stopping_since is not None,
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
            await anyio.sleep(USES_S if sent else IDLE_USES_S)
            uses = self._collect_uses()
            if uses or sent:
                self._send_to_holder(
                    messages.Uses(self.board.settings.vm, uses)
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
        peers = self.board.membership.value.members.peers
        holder = peers.get(self.board.lease.value.holder)
        if holder is not None:
            self._send(messages.encode(message), holder.address)

    async def _send_outgoing(self) -> None:
        mailbox = self.board.outgoing
        while True:
            await blackboard.wait_any(mailbox.is_filled())
            for message in mailbox.take():
                self._send_message(message)

    def _send_message(self, message: Any) -> None:
        if isinstance(message, messages.Want):
            self._send_to_holder(message)
            return
        peers = self.board.membership.value.members.peers
        data = messages.encode(message)
        now = self.read_clock()
        for peer in peers.values():
            if peer.is_alive(now):
                self._send(data, peer.address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self._datagrams.transport.sendto(data, address)

    def _notify(self) -> None:
        self.write(self.board.membership, self.board.membership.value)
