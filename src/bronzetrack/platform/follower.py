"""Follower of a keyed topic that handles outages and expired records."""

from __future__ import annotations

from collections.abc import Callable
import logging

import anyio
import attrs

from bronzetrack.core import logevents
from bronzetrack.core import positions
from bronzetrack.core.eventtypes import store as store_events
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5


@attrs.frozen
class Change:
    """Records returned by one read.

    :param snapshot: whether the records are the newest of all keys, so that
        a key without a record here no longer exists
    :param recovered: whether the previous read of the store failed, or the
        store has been restored from an older copy since
    :param restored: whether it has been restored
    :param next_offset: position of the record that is read next
    :param as_of: time up to which the records are complete. The store has
        answered later, but how long its answer took is not known.
    """

    records: list[stores.KeyedRecord]
    snapshot: bool
    recovered: bool
    next_offset: positions.Position = positions.Position(0)
    as_of: float = float("-inf")
    restored: bool = False


class Follower:
    """Reads the newest record of each key, then the records that follow.

    :param wait_s: longest time that one call waits for records, in seconds
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
        self._next_offset: positions.Position | None = None
        self._expired_offset: positions.Position | None = None
        self._failing_since: float | None = None

    @property
    def next_offset(self) -> positions.Position:
        """Position of the next record, 0 before the first read."""
        return self._next_offset or positions.Position(0)

    async def read(self, wait_s: float | None = None) -> Change:
        """Return the next records, or none after the wait of one call.

        :param wait_s: longest wait of this call, in seconds, if it differs

        Failed calls are retried with exponential backoff. If the records at
        the current position have expired, or the store has been restored from
        an older copy, the newest record of each key is read again.
        """
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                change = await self._read_once(
                    self._wait_s if wait_s is None else wait_s
                )
            except stores.RecordsExpiredError:
                if self._next_offset is not None:
                    self._expired_offset = self._next_offset
                self._next_offset = None
            except stores.StoreError as error:
                self._record_failure(error)
                await anyio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
            else:
                self._record_success()
                return change

    async def _read_once(self, wait_s: float) -> Change:
        recovered = self._failing_since is not None
        started_at = self._read_clock()
        if self._next_offset is None:
            newest, self._next_offset = await self._store.read_newest(
                self._topic
            )
            restored = self._is_restored()
            self._log_listing(len(newest))
            return Change(
                newest,
                True,
                recovered or restored,
                self._next_offset,
                started_at,
                restored,
            )
        longest_wait_s = 0.0 if recovered else wait_s
        batch = await self._store.read(
            self._topic, self._next_offset, longest_wait_s
        )
        first = self._next_offset
        self._next_offset = positions.Position(first + len(batch.records))
        decoded = (
            stores.decode_keyed(record, positions.Position(first + index))
            for index, record in enumerate(batch.records)
        )
        records = [record for record in decoded if record is not None]
        return Change(
            records,
            False,
            recovered,
            self._next_offset,
            started_at if batch.records else started_at + longest_wait_s,
        )

    def _is_restored(self) -> bool:
        """Return whether the listing is of a later era than the one before."""
        if self._expired_offset is None:
            return False
        return positions.get_era(self.next_offset) > positions.get_era(
            self._expired_offset
        )

    def _log_listing(self, count: int) -> None:
        previous = self._expired_offset
        event = store_events.TopicListed(
            self._topic,
            count,
            None if previous is None else positions.get_offset(previous),
            positions.get_offset(self.next_offset),
            positions.get_era(self.next_offset),
        )
        logevents.log(LOG, event)

    def _record_failure(self, error: stores.StoreError) -> None:
        if self._failing_since is None:
            self._failing_since = self._read_clock()
            event = store_events.StoreUnavailable(self._topic, str(error))
            logevents.log(LOG, event)

    def _record_success(self) -> None:
        if self._failing_since is None:
            return
        outage_s = self._read_clock() - self._failing_since
        self._failing_since = None
        event = store_events.StoreRecovered(
            self._topic, logevents.round_time(outage_s)
        )
        logevents.log(LOG, event)
