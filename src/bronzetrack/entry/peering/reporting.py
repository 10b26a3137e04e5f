"""Heartbeats and digests that a VM sends to the other VMs."""

from __future__ import annotations

import math
import random
from typing import Any
from typing import TYPE_CHECKING

from bronzetrack.entry import messages
from bronzetrack.entry.peering import datagrams
from bronzetrack.entry.peering import digests
from bronzetrack.entry.peering import hubs
from bronzetrack.entry.peering import peers as peer_tables

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

# Age of a view that is stated at the most, and where there is none.
MAX_AGE_S = 3_600.0


class Reporter:
    """Sends heartbeats to the hubs, and digests while this VM is a hub.

    :ivar sender: sends the datagrams, once the socket is open
    :ivar totals: requests in progress of all VMs, as hubs reported them
    :ivar work: work of these requests in ms, as hubs reported it
    :ivar changed: VMs whose state hubs have to send at once
    """

    def __init__(self, board: boards.Blackboard, started_at: float) -> None:
        self.sender: Any = None
        self.totals = digests.TotalsTable[int]()
        self.work = digests.TotalsTable[float]()
        self.changed: set[str] = set()
        self._board = board
        self._started_at = started_at
        self._own_totals: dict[str, int] = {}
        self._own_work: dict[str, float] = {}
        self._generator = random.Random(board.incarnation)

    def send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to the hubs, or to others if none is heard."""
        membership = self._board.membership.value
        table = membership.peer_table
        recipients = hubs.choose_hubs(table, self._board.settings.vm, now)
        heard_at = max(membership.hub_heard_at, self._started_at)
        if now - heard_at > hubs.HUB_SILENCE_S:
            recipients += hubs.choose_probes(
                table, recipients, now, self._generator
            )
        data = messages.encode(self._make_heartbeat(now))
        for peer in recipients:
            self.sender.send(data, peer.address)

    def update_totals(self, now: float) -> None:
        """Add up the requests in progress while other VMs report to this."""
        membership = self._board.membership.value
        subscribers = hubs.list_subscribers(membership.peer_table, now)
        membership.is_hub = bool(subscribers)
        if not subscribers:
            return
        own = self.count_active()
        self._own_totals = digests.sum_active(subscribers, own)
        own_work = self.measure_work(now)
        self._own_work = digests.sum_work(subscribers, own_work)
        self.totals.record(self._board.settings.vm, self._own_totals, now)
        self.work.record(self._board.settings.vm, self._own_work, now)
        self.merge_totals(now)

    def merge_totals(self, now: float) -> None:
        """Update what the other VMs have in progress."""
        membership = self._board.membership.value
        membership.active = self.totals.merge(self.count_active(), now)
        membership.work_ms = self.work.merge(self.measure_work(now), now)
        newest = self.totals.find_newest()
        membership.newest_totals_at, membership.newest_totals = newest

    def send_digests(self, since: float, now: float) -> None:
        """Send the digests that became due to VMs that send heartbeats.

        :param since: time of the previous call
        """
        own_vm = self._board.settings.vm
        table = self._board.membership.value.peer_table
        subscribers = hubs.list_subscribers(table, now)
        due = hubs.list_due(
            subscribers, own_vm, hubs.LOAD_DIGEST_INTERVAL_S, since, now
        )
        self._send_load(due, now)
        due = hubs.list_due(
            subscribers, own_vm, hubs.MEMBER_DIGEST_INTERVAL_S, since, now
        )
        if due:
            self._send_members(table.list_alive(now), due, now)

    def send_lease(self, now: float) -> None:
        """Send the lease to all VMs that send heartbeats."""
        table = self._board.membership.value.peer_table
        self._send_load(hubs.list_subscribers(table, now), now)

    def _send_load(
        self, recipients: list[peer_tables.Peer], now: float
    ) -> None:
        if recipients:
            digest = self._make_load_digest(
                self._own_totals, self._own_work, now
            )
            self.sender.broadcast([digest], recipients)

    def send_to_silent(self, now: float) -> None:
        """Send digests to VMs that fell silent, and look for lost ones."""
        membership = self._board.membership.value
        table = membership.peer_table
        silent = hubs.list_silent_subscribers(table, now)
        if silent:
            digest = self._make_load_digest({}, {}, now)
            self.sender.broadcast([digest], silent)
        lost = hubs.choose_silent(table, now, self._generator)
        if lost is not None and membership.is_hub:
            heartbeat = messages.encode(self._make_heartbeat(now))
            self.sender.send(heartbeat, lost.address)

    def send_changed_members(self, now: float) -> None:
        """Tell the subscribers which VMs start, stop, join or become ready.

        Those that have changed are told of all, as they may have just started.
        """
        if not self.changed:
            return
        table = self._board.membership.value.peer_table
        alive = table.list_alive(now)
        subscribers = hubs.list_subscribers(table, now)
        changed = [peer for peer in alive if peer.vm in self.changed]
        others = [peer for peer in subscribers if peer.vm not in self.changed]
        self._send_members(changed, others, now)
        self._send_members(
            alive, [peer for peer in changed if peer in subscribers], now
        )
        self.changed.clear()

    def _send_members(
        self,
        members: list[peer_tables.Peer],
        recipients: list[peer_tables.Peer],
        now: float,
    ) -> None:
        encoded = [
            messages.MemberDigest(
                self._board.settings.vm,
                digests.encode_members(digests.list_members(part, now)),
            )
            for part in _split(members, digests.MEMBERS_PER_DATAGRAM)
        ]
        self.sender.broadcast(encoded, recipients)

    def count_active(self) -> dict[str, int]:
        """Return the requests in progress of this VM by endpoint."""
        by_identity = self._board.traffic.value.by_identity
        return {
            identity: item.active
            for identity, item in by_identity.items()
            if item.active
        }

    def measure_work(self, now: float) -> dict[str, float]:
        """Return the work left of this VM's requests by endpoint, in ms."""
        return self._board.costs.value.ledger.measure_all(now)

    def _make_heartbeat(self, now: float) -> messages.Heartbeat:
        active = self.count_active()
        work = digests.list_work(active, self.measure_work(now))
        return messages.Heartbeat(
            **self._describe_vm(), active=active, work=work
        )

    def _make_load_digest(
        self,
        totals: dict[str, int],
        work_ms: dict[str, float],
        now: float,
    ) -> messages.LoadDigest:
        board = self._board
        host, port = self._find_holder_address(board.lease.value.holder)
        return messages.LoadDigest(
            **self._describe_vm(),
            holder_host=host,
            holder_port=port,
            operator_offset=board.operator_offset.value,
            endpoint_offset=board.endpoints.value.changed_offset,
            operator_age_ms=_measure_age(board.operator_read_at.value, now),
            endpoint_age_ms=_measure_age(board.store_read_at.value, now),
            totals=digests.encode_counts(totals),
            work=digests.encode_work(totals, work_ms),
        )

    def _describe_vm(self) -> dict[str, Any]:
        """Return the fields that all reports of this VM share."""
        board = self._board
        lease = board.lease.value
        lifecycle = board.lifecycle.value
        return {
            "vm": board.settings.vm,
            "caller_address": board.settings.front,
            "zone": board.settings.zone,
            "ready": lifecycle.ready,
            "stopping": lifecycle.stopping_since is not None,
            "lease_end": lease.end,
            "holder": lease.holder,
            "lease_released": lease.released,
            "joining": board.membership.value.peer_table.is_joining,
        }

    def _find_holder_address(self, holder: str) -> datagrams.Address:
        settings = self._board.settings
        membership = self._board.membership.value
        peer = membership.peer_table.peers.get(holder)
        if holder == settings.vm:
            return settings.peer_ip, settings.peer_port
        if peer is not None:
            return peer.address
        known, address = membership.holder_address
        return address if known == holder else ("", 0)


def _measure_age(read_at: float, now: float) -> int:
    """Return the time since a read in milliseconds, up to a limit."""
    return math.ceil(1000 * min(MAX_AGE_S, max(0.0, now - read_at)))


def _split(
    items: list[peer_tables.Peer], size: int
) -> list[list[peer_tables.Peer]]:
    return [
        items[start : start + size] for start in range(0, len(items), size)
    ]
