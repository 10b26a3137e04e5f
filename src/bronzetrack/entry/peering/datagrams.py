"""Sending of messages to other entry VMs as datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TYPE_CHECKING

from bronzetrack.entry import messages

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry.peering import peers

Address = tuple[str, int]
# Messages to all VMs are sent in parts of about this size. A narrow link has
# no room in its queue for all of them at once.
PART_BYTES = 8_192
# Largest share of the VM's link that these parts take, and the largest rate.
LINK_SHARE = 0.5
SPREAD_DATAGRAMS_PER_S = 2_000
# Longest time for which one round of messages is sent.
MAX_ROUND_S = 0.25


class DatagramProtocol(asyncio.DatagramProtocol):
    """Datagram protocol that passes datagrams to a receiver.

    :param receive: called with each datagram and the address of its sender
    """

    def __init__(self, receive: Callable[[bytes, Any], None]) -> None:
        self._receive = receive
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the receiver."""
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors; missing heartbeats show that a VM does not listen."""


class DatagramSender:
    """Sends messages to one VM, to the holder of the lease, or to all VMs."""

    def __init__(self, board: boards.Blackboard, protocol: Any) -> None:
        self._board = board
        self._protocol = protocol

    def send(self, data: bytes, address: Address) -> None:
        """Send an encoded message to an address."""
        self._protocol.transport.sendto(data, address)

    def send_to_vm(self, vm: str, message: Any) -> None:
        """Send a message to a VM if its address is known."""
        membership = self._board.membership.value
        peer = membership.peer_table.peers.get(vm)
        holder, address = membership.holder_address
        if peer is not None:
            self.send(messages.encode(message), peer.address)
        elif vm and vm == holder:
            self.send(messages.encode(message), address)

    def send_to_holder(self, message: Any) -> None:
        """Send a message to the holder of the lease, unless it is this VM."""
        holder = self._board.lease.value.holder
        if holder != self._board.settings.vm:
            self.send_to_vm(holder, message)

    def broadcast(
        self, items: Iterable[Any], recipients: Iterable[peers.Peer]
    ) -> None:
        """Send messages to VMs in as few datagrams as possible."""
        datagrams = list(messages.bundle(map(messages.encode, items)))
        self._send_to_each(datagrams, recipients)

    def limit_round(self, recipients: int) -> float:
        """Return the size of a round of messages to one VM, in bytes.

        :param recipients: number of VMs that get it
        """
        return self._bytes_per_s * MAX_ROUND_S / max(1, recipients)

    @property
    def _bytes_per_s(self) -> float:
        """Bandwidth for messages to all VMs."""
        return LINK_SHARE * self._board.settings.link_bytes_per_s

    async def spread(
        self, items: Iterable[Any], recipients: list[peers.Peer]
    ) -> None:
        """Send messages to many VMs in parts that a narrow link can take.

        Load pattern: the lease holder places adapters for all VMs while an
        endpoint says that it leaves. The end of a burst to hundreds of VMs
        would be lost.
        """
        datagrams = list(messages.bundle(map(messages.encode, items)))
        size = sum(map(len, datagrams))
        count = max(1, PART_BYTES // max(1, size))
        pause_s = max(
            size / self._bytes_per_s, len(datagrams) / SPREAD_DATAGRAMS_PER_S
        )
        for start in range(0, len(recipients), count):
            part = recipients[start : start + count]
            self._send_to_each(datagrams, part)
            await asyncio.sleep(len(part) * pause_s)

    def _send_to_each(
        self, datagrams: list[bytes], recipients: Iterable[peers.Peer]
    ) -> None:
        for peer in recipients:
            for data in datagrams:
                self.send(data, peer.address)
