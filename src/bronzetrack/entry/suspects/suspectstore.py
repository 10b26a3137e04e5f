"""Reading and writing of the records of suspected requests in the store."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random
import time
from typing import TYPE_CHECKING

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import crashes as crash_events
from bronzetrack.entry.eras import rewriting
from bronzetrack.entry.peering import peers
from bronzetrack.entry.suspects import suspectrecords
from bronzetrack.entry.suspects import suspects
from bronzetrack.platform import follower
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards

LOG = logging.getLogger(__name__)
# Pause before a failed write is repeated.
RETRY_S = 0.5


class SuspectStore:
    """Keeps the records of suspected keys in line with the blackboard."""

    def __init__(
        self,
        board: boards.Blackboard,
        store: stores.Store,
        read_clock: Callable[[], float],
    ) -> None:
        self._board = board
        self._store = store
        self._read_clock = read_clock
        # Keys that have a record.
        self._stored: set[str] = set()
        # Keys whose records this run has written or removed, the latest last.
        self._written: dict[str, None] = {}
        # Keys whose record is out of date.
        self._changed: blackboard.Mailbox[str] = blackboard.Mailbox(
            "changed", suspects.MAX_SUSPECTS
        )

    def mark_changed(self, key: str) -> None:
        """Have the record of a key written."""
        self._changed.post(key)

    def mark_cleared(self, key: str) -> None:
        """Have the record of a key that was cleared updated, if it has one."""
        if key in self._stored:
            self._changed.post(key)

    async def load(self) -> list[tuple[str, dict[str, float]]]:
        """Read all records once.

        :returns: key and time of each crash by the id of the endpoint's start
        """
        suspect_follower = follower.Follower(
            self._store, names.SUSPECTS_TOPIC, 0.0, self._read_clock
        )
        change = await suspect_follower.read()
        decoded = (
            (stored.key, self._decode(stored)) for stored in change.records
        )
        return [(key, crashes) for key, crashes in decoded if crashes]

    def _decode(self, stored: stores.KeyedRecord) -> dict[str, float]:
        """Return the crashes of a record, none if it is invalid or expired."""
        if stored.value is None:
            return {}
        self._stored.add(stored.key)
        wall_s = time.time()
        try:
            record = suspectrecords.decode_record(stored.value)
        except suspectrecords.SuspectRecordError as error:
            event = crash_events.SuspectRejected(stored.key, str(error))
            logevents.log(LOG, event)
            return {}
        if record.is_expired(wall_s):
            self._changed.post(stored.key)
            return {}
        now = self._read_clock()
        return suspectrecords.compute_times(record, now, wall_s)

    async def follow_restores(self) -> None:
        """Write again what the store has lost, after each of its restores.

        Each VM writes what it wrote before. One of them then writes the rest,
        whose writers have ended.
        """
        section = self._board.store_era
        restores = 0
        while True:
            await rewriting.await_restore(self._board, restores)
            await anyio.sleep(random.uniform(0.0, rewriting.REWRITE_SPREAD_S))
            restores = section.value.restores
            self._rewrite(list(self._written))
            alive = self._board.membership.value.peer_table.list_alive(
                self._read_clock()
            )
            if not peers.compute_rank(self._board.settings.vm, alive):
                await anyio.sleep(rewriting.REWRITE_SPREAD_S)
                await self._rewrite_missing()

    async def _rewrite_missing(self) -> None:
        """Write the records with more crashes than the store knows of."""
        stored = dict(await self.load())
        table = self._board.suspects.value
        now = self._read_clock()
        counts = {
            key: table.count(key, self._board.answers.value, now)
            for key in table.by_key
        }
        self._rewrite(
            [
                key
                for key, count in counts.items()
                if count >= suspects.STORED_CRASHES
                and count > len(stored.get(key, ()))
            ]
        )

    def _rewrite(self, keys: list[str]) -> None:
        if not keys:
            return
        for key in keys:
            self._changed.post(key)
        rewriting.record_rewrite(self._board, names.SUSPECTS_TOPIC, len(keys))

    async def save_changes(self) -> None:
        """Write the records of keys with crashes, and remove the others."""
        while True:
            await self._changed.wait_items()
            for key in dict.fromkeys(self._changed.take()):
                await self._save(key)

    async def _save(self, key: str) -> None:
        while True:
            value = self._encode(key)
            try:
                await self._store.put(names.SUSPECTS_TOPIC, key, value)
            except stores.StoreError as error:
                logevents.log(LOG, crash_events.SuspectSaveFailed(str(error)))
                await anyio.sleep(RETRY_S)
            else:
                break
        self._note_written(key)
        if value is None:
            self._stored.discard(key)
        else:
            self._stored.add(key)

    def _note_written(self, key: str) -> None:
        self._written.pop(key, None)
        self._written[key] = None
        if len(self._written) > suspects.MAX_SUSPECTS:
            del self._written[next(iter(self._written))]

    def _encode(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it has too few crashes."""
        table = self._board.suspects.value
        now = self._read_clock()
        count = table.count(key, self._board.answers.value, now)
        if count < suspects.STORED_CRASHES:
            return None
        record = suspectrecords.make_record(
            table.by_key[key], now, time.time()
        )
        return suspectrecords.encode_record(record)
