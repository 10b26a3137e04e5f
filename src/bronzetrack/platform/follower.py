"""Follows a topic with keys, past outages and dropped history."""

from __future__ import annotations

from collections.abc import Callable
import logging

import anyio
import attrs

from bronzetrack.core import logevents
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 0.5


@attrs.frozen
class Change:
    """Records that were read.

    :param snapshot: they are the newest of all keys; others are gone
    :param recovered: the store could not be read before
    """

    records: list[stores.KeyedRecord]
    snapshot: bool
    recovered: bool


class Follower:
    """Reads a topic from its newest records on.

    :param wait_s: longest wait of one call
    """

    def __init__(
        self,
        store: stores.Store,
        topic: str,
        wait_s: float,
        read_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._read_clock = read_clock
        self._next: int | None = None
        self._failing_since: float | None = None

    async def read(self) -> Change:
        """Wait for records, or for the time of one call."""
        delay_s = FIRST_DELAY_S
        while True:
            try:
                change = await self._read_once()
            except stores.RecordsExpiredError:
                self._next = None
            except stores.StoreError as error:
                self._note_failure(error)
                await anyio.sleep(delay_s)
                delay_s = min(LONGEST_DELAY_S, 2 * delay_s)
            else:
                self._note_success()
                return change

    async def _read_once(self) -> Change:
        recovered = self._failing_since is not None
        if self._next is None:
            newest, self._next = await self._store.list_newest(self._topic)
            return Change(newest, True, recovered)
        wait_s = 0.0 if recovered else self._wait_s
        batch = await self._store.read(self._topic, self._next, wait_s)
        first = self._next
        self._next = first + len(batch.records)
        decoded = (
            stores.decode_keyed(record, first + index)
            for index, record in enumerate(batch.records)
        )
        records = [record for record in decoded if record is not None]
        return Change(records, False, recovered)

    def _note_failure(self, error: stores.StoreError) -> None:
        if self._failing_since is None:
            self._failing_since = self._read_clock()
            event = logevents.StoreLost(self._topic, str(error))
            logevents.log(LOG, event)

    def _note_success(self) -> None:
        if self._failing_since is None:
            return
        away_s = self._read_clock() - self._failing_since
        self._failing_since = None
        event = logevents.StoreRegained(
            self._topic, logevents.round_time(away_s)
        )
        logevents.log(LOG, event)
