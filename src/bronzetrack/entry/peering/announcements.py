"""Announcements of the VMs in the store, by which they find each other."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
import random
from typing import TYPE_CHECKING

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import fleet as fleet_events
from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry import notifiers
from bronzetrack.entry.eras import rewriting
from bronzetrack.entry.peering import digests
from bronzetrack.entry.peering import joining
from bronzetrack.entry.peering import peers as peer_tables
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)
# Pause after the first read of the announcements, and the shortest one. Each
# further pause is longer by the factor, as VMs that start together announce
# themselves together.
FIRST_READ_PAUSE_S = 0.3
READ_PAUSE_FACTOR = 3.0
# Longest pause. Announcements never expire, and a VM that is not known yet
# shows in the digests.
MAX_READ_PAUSE_S = 20.0
# With this many VMs or fewer, no digests tell of a VM that is not known.
SMALL_FLEET = 2
# Longest pause in a small fleet, as a share of the time for which a VM relies
# on a read.
TOUCH_SHARE = 0.25
# Delay after a failed announcement.
RETRY_S = 0.5
# A VM that is not known is forgotten if no digest names it for this time.
STRANGER_TTL_S = 20.0


class Announcements:
    """Announces this VM in the store, and reads of the other VMs there.

    :param on_change: called when the membership has changed
    """

    def __init__(
        self,
        board: boards.Blackboard,
        store: stores.Store,
        read_clock: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._board = board
        self._store = store
        self._read_clock = read_clock
        self._on_change = on_change
        self._joining = joining.Joining()
        # Keys of VMs that digests name and this VM does not know, with the
        # time of the last such digest.
        self._strangers: dict[int, float] = {}
        self._wakeups = notifiers.Notifier()

    @property
    def _table(self) -> peer_tables.PeerTable:
        return self._board.membership.value.peer_table

    @property
    def _era(self) -> int | None:
        """Era of the store, `None` while it has stated none."""
        section = self._board.store_era
        return section.value.number if section.revision else None

    async def announce(self) -> None:
        """Announce this VM, and again after each restore of the store."""
        settings = self._board.settings
        addresses = messages.VmAddresses(
            caller_address=settings.front,
            host=settings.peer_ip,
            port=settings.peer_port,
            zone=settings.zone,
        )
        value = messages.encode_vm_addresses(addresses)
        while True:
            restores = self._board.store_era.value.restores
            await self._put(value)
            self._joining.record_announcement(self._era, self._read_clock())
            self._wakeups.change()
            await rewriting.await_restore(self._board, restores)
            await anyio.sleep(self._draw_delay())
            rewriting.record_rewrite(self._board, names.STATUS_TOPIC, 1)

    async def _put(self, value: bytes) -> None:
        """Write the announcement until the store acknowledges it."""
        while True:
            try:
                await self._store.put(
                    names.STATUS_TOPIC, self._board.settings.vm, value
                )
                return
            except stores.StoreError as error:
                logevents.log(LOG, fleet_events.AnnounceFailed(str(error)))
                await anyio.sleep(RETRY_S)

    def _draw_delay(self) -> float:
        """Return the time until this VM announces itself again, in seconds.

        VMs that start then find the others through the first announcements.
        """
        membership = self._board.membership.value
        if membership.is_hub or not self._table.list_alive(self._read_clock()):
            return 0.0
        return random.uniform(0.0, rewriting.REWRITE_SPREAD_S)

    async def follow(self) -> None:
        """Read the announcements at growing intervals until cancelled."""
        status_follower = follower.Follower(
            self._store, names.STATUS_TOPIC, 0.0, self._read_clock
        )
        await blackboard.wait_any(
            self._wakeups.is_newer(self._wakeups.count),
            timeout_ms=int(1000 * FIRST_READ_PAUSE_S),
        )
        pause_s = FIRST_READ_PAUSE_S
        while True:
            wakeups = self._wakeups.count
            change = await status_follower.read()
            self._apply_change(change)
            if change.records:
                pause_s = FIRST_READ_PAUSE_S
            await anyio.sleep(FIRST_READ_PAUSE_S)
            await self._await_read(wakeups, pause_s - FIRST_READ_PAUSE_S)
            pause_s = min(MAX_READ_PAUSE_S, pause_s * READ_PAUSE_FACTOR)
            if self._wakeups.count > wakeups:
                pause_s = FIRST_READ_PAUSE_S

    async def _await_read(self, wakeups: int, pause_s: float) -> None:
        """Wait until the announcements are read again.

        :param wakeups: number of reasons to read at once before the last read
        :param pause_s: longest wait, in seconds
        """
        now = self._read_clock()
        limit_s = MAX_READ_PAUSE_S
        if self._table.count_vms(now) <= SMALL_FLEET:
            limit_s = TOUCH_SHARE * self._joining.touch_s
        due_s = max(0.0, self._joining.listing_due - now)
        await blackboard.wait_any(
            self._wakeups.is_newer(wakeups),
            timeout_ms=math.ceil(1000 * min(pause_s, limit_s, due_s)),
        )

    def _apply_change(self, change: follower.Change) -> None:
        """Apply the announcements of one read."""
        now = self._read_clock()
        for record in change.records:
            self.apply(record)
        self._joining.record_listing(self._era, change.as_of, now)
        self._prune_strangers(now)
        self._table.is_listed = True
        self.update(now)
        self._on_change()

    def apply(self, record: stores.KeyedRecord) -> None:
        """Apply the announcement of a VM."""
        if record.value is None or record.key == self._board.settings.vm:
            return
        try:
            addresses = messages.decode_vm_addresses(record.value)
        except messages.MessageError as error:
            event = fleet_events.AnnouncementRejected(record.key, str(error))
            logevents.log(LOG, event)
            return
        peers = self._table.peers
        peer = peers.get(record.key)
        now = self._read_clock()
        address = (addresses.host, addresses.port)
        if peer is not None and peer.address == address:
            peer.announced_at = now
            return
        peers[record.key] = peer_tables.Peer(
            record.key, addresses.caller_address, address, addresses.zone, now
        )

    def _prune_strangers(self, now: float) -> None:
        """Forget VMs that have become known, or that no digest names."""
        known = {peer.key for peer in self._table.peers.values()}
        self._strangers = {
            key: told_at
            for key, told_at in self._strangers.items()
            if key not in known and now - told_at < STRANGER_TTL_S
        }

    def record_members(
        self, members: Iterable[digests.Member], now: float
    ) -> None:
        """Note the VMs of a digest that are not known, and read of them."""
        known = {peer.key for peer in self._table.peers.values()}
        own_key = peer_tables.compute_key(self._board.settings.vm)
        named = {member.key for member in members}
        strangers = named - known - {own_key}
        is_new = not strangers <= self._strangers.keys()
        self._strangers |= dict.fromkeys(strangers, now)
        if is_new:
            self._wakeups.change()
        # Digests without this VM tell only of changes.
        if strangers or own_key in named:
            self._joining.is_introduced = not strangers

    def update(self, now: float) -> None:
        """Publish whether this VM joins the others."""
        table = self._table
        is_changed = self._joining.update(
            bool(table.list_alive(now)), table.count_vms(now) > 1, now
        )
        if not is_changed:
            return
        is_joining = table.is_joining = self._joining.is_joining
        meters.JOINING.set(is_joining)
        if is_joining:
            self._wakeups.change()
        event = fleet_events.JoiningChanged(
            is_joining, table.count_vms(now) - 1, len(self._strangers)
        )
        logevents.log(LOG, event)
        self._on_change()
