"""Client of the platform's store.

All access to the store goes through this module. Records are raw bytes. A
call without a response may have been executed, or may be executed later.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
import contextlib
import json
import struct
from typing import TYPE_CHECKING
from urllib import parse

import attrs

from bronzetrack.core import errors
from bronzetrack.core import positions
from bronzetrack.entry import meters
from bronzetrack.platform import names

if TYPE_CHECKING:
    from bronzetrack.transport import calls

RECORD_LENGTH = struct.Struct(">I")
BATCH_HEADER = struct.Struct(">QQ")
CALL_TIMEOUT_S = 1.0
# The response to a long poll may arrive this much later than its longest wait.
LONG_POLL_MARGIN_S = 0.8
MAX_ERA_DIGITS = 7


class StoreError(errors.BronzetrackError):
    """A call to the store failed."""


class StoreUncertainError(StoreError):
    """No valid response arrived; the call may be executed, now or later."""


class StoreRefusedError(StoreError):
    """The store rejected a call, which had no effect."""


class OffsetConflictError(StoreRefusedError):
    """A conditional append expected another end of the partition.

    :param end: position at which the partition ends
    """

    def __init__(self, end: positions.Position) -> None:
        super().__init__(
            f"the partition ends at offset {positions.get_offset(end)}"
        )
        self.end = end


class RecordsExpiredError(StoreRefusedError):
    """The requested records are no longer retained, or of an older era.

    :param first: position of the first record that is retained, if known
    """

    def __init__(
        self, text: str, first: positions.Position | None = None
    ) -> None:
        super().__init__(text)
        self.first = first


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic.

    :param value: value of the key, or None if the key was removed
    """

    key: str
    # Not in the repr, since a configuration holds secret keys.
    value: bytes | None = attrs.field(repr=False)
    offset: positions.Position


@attrs.frozen
class Batch:
    """Records returned by one read.

    :param first: position of the first record
    :param end: position after the last record of the partition
    """

    records: list[bytes] = attrs.field(repr=False)
    first: positions.Position
    end: positions.Position


class Store:
    """Client of the store that keeps its connections open.

    :param http_client: HTTP client that sends the calls
    :param address: address of the store, as HOST:PORT
    :param on_era: called with each era that is higher than those before, and
        with the first one, and whether it follows another
    """

    def __init__(
        self,
        http_client: calls.HttpClient,
        address: str,
        on_era: Callable[[int, bool], None] = lambda era, is_restore: None,
    ) -> None:
        self._http_client = http_client
        self._address = address
        self._on_era = on_era
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Highest era of an answer, 0 without one."""
        return self._era or 0

    async def append(
        self,
        topic: str,
        records: list[bytes],
        expected_end: positions.Position | None = None,
    ) -> positions.Position:
        """Append records and return the position of the first.

        :param expected_end: append only if the partition ends at its offset,
            which may have been given out in another era. The returned
            position tells.
        :raises OffsetConflictError: the partition ends at another offset
        :raises StoreError: the call failed for another reason
        """
        query = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = positions.get_offset(expected_end)
        body = b"".join(
            RECORD_LENGTH.pack(len(item)) + item for item in records
        )
        response = await self._call("POST", names.APPEND_PATH, query, body)
        if response.status == 412:
            raise OffsetConflictError(
                self._locate(_decode_number(response.body, "end"))
            )
        self._check_status(response)
        return self._locate(_decode_number(response.body, "offset"))

    def _locate(self, offset: int) -> positions.Position:
        """Return the position of an offset that has just been received."""
        return positions.make_position(self.era, offset)

    async def put(
        self, topic: str, key: str, value: bytes | None
    ) -> positions.Position:
        """Write the value of a key, or remove the key if value is None."""
        encoded_key = key.encode()
        record = bytes([len(encoded_key)]) + encoded_key + (value or b"")
        return await self.append(topic, [record])

    async def read(
        self, topic: str, first: positions.Position, max_wait_s: float
    ) -> Batch:
        """Read records from a position with a long poll.

        :param first: position of the first record to return
        :param max_wait_s: longest time to wait for a record, in seconds
        :raises RecordsExpiredError: the position is no longer retained, or
            the store has been restored since
        :raises StoreError: the call failed for another reason
        """
        if positions.get_era(first) < self.era:
            self._check_era(first)
        query = {
            "topic": topic,
            "part": 0,
            "from": positions.get_offset(first),
            "max_wait_ms": int(max_wait_s * 1000),
        }
        response = await self._call(
            "GET", names.READ_PATH, query, b"", max_wait_s + LONG_POLL_MARGIN_S
        )
        self._check_era(first)
        if response.status == 410:
            raise RecordsExpiredError(
                f"topic {topic} does not have offset"
                f" {positions.get_offset(first)}",
                self._find_first(response),
            )
        self._check_status(response)
        return decode_batch(response.body, first)

    def _find_first(
        self, response: calls.Response
    ) -> positions.Position | None:
        """Return the first retained position, None if it is not stated."""
        with contextlib.suppress(StoreUncertainError):
            return self._locate(_decode_number(response.body, "first"))
        return None

    def _check_era(self, position: positions.Position) -> None:
        """Check that a position is of the present era.

        :raises RecordsExpiredError: it is not
        """
        if positions.get_era(position) != self.era:
            raise RecordsExpiredError("the store was restored from a copy")

    async def read_newest(
        self, topic: str
    ) -> tuple[list[KeyedRecord], positions.Position]:
        """Return the newest record of each key, and the next to read.

        The pages are not a consistent snapshot. The next position is
        therefore the end of the partition that the first page states, so that
        records written between two pages are read again.

        :raises RecordsExpiredError: the store was restored between two pages
        :raises StoreError: a page could not be read
        """
        newest: list[KeyedRecord] = []
        next_offset: positions.Position | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            response = await self._call("GET", names.NEWEST_PATH, query, b"")
            self._check_status(response)
            if next_offset is not None:
                self._check_era(next_offset)
            try:
                page = json.loads(response.body)
                newest.extend(
                    KeyedRecord(
                        item["key"],
                        base64.b64decode(item["value"]),
                        self._locate(int(item["offset"])),
                    )
                    for item in page["items"]
                )
                if next_offset is None:
                    next_offset = self._locate(int(page["end"]))
                if not page.get("has_more"):
                    return newest, next_offset
                after = page["items"][-1]["key"]
            except (ValueError, KeyError, TypeError, IndexError) as error:
                # The repr of a UnicodeDecodeError holds the whole page, which
                # may have secret keys.
                raise StoreRefusedError(f"malformed page: {error}") from error

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> calls.Response:
        # A key that another writer chose may be no valid Unicode.
        encoded_query = parse.urlencode(query, errors="surrogatepass")
        target = f"{path}?{encoded_query}"
        response = await self._http_client.request(
            self._address, method, target, body, timeout_s
        )
        status = response.status if response else 0
        meters.STORE_CALLS.labels(path.rpartition("/")[2], status).inc()
        if response is None:
            raise StoreUncertainError(f"no response to {method} {path}")
        self._record_era(response)
        return response

    def _record_era(self, response: calls.Response) -> None:
        """Keep the era that a response states.

        :raises StoreUncertainError: it states no valid era, or one before the
            present one, so that what the call wrote may be gone
        """
        values = response.list_values(names.STORE_ERA)
        if not values:
            return
        era = _decode_era(values)
        if era < self.era:
            raise StoreUncertainError(f"a response of the past era {era}")
        if self._era is None or era > self._era:
            is_restore = self._era is not None
            self._era = era
            self._on_era(era, is_restore)

    def _check_status(self, response: calls.Response) -> None:
        if response.status != 200:
            raise StoreRefusedError(
                f"the store returned status {response.status}:"
                f" {response.body[:200]!r}"
            )


def _decode_era(values: list[bytes]) -> int:
    """Decode the values of the header that states the era.

    :raises StoreUncertainError: they are not one number in its range
    """
    digits = values[0].decode("latin-1")
    if len(values) != 1 or not digits.isascii() or not digits.isdigit():
        raise StoreUncertainError(f"malformed era: {values!r:.100}")
    if len(digits) > MAX_ERA_DIGITS or int(digits) > positions.MAX_ERA:
        raise StoreUncertainError(f"era out of range: {digits:.100}")
    return int(digits)


def _decode_number(body: bytes, name: str) -> int:
    try:
        return int(json.loads(body)[name])
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUncertainError(f"malformed response: {error!r}") from error


def decode_batch(data: bytes, first: positions.Position) -> Batch:
    """Decode the response to a read.

    :param first: position of the first record
    :raises StoreRefusedError: the response is malformed
    """
    if len(data) < BATCH_HEADER.size:
        raise StoreRefusedError("the response is shorter than its header")
    end, _ = BATCH_HEADER.unpack_from(data)
    records = []
    position = BATCH_HEADER.size
    while position + RECORD_LENGTH.size <= len(data):
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + size > len(data):
            raise StoreRefusedError("the last record is truncated")
        records.append(data[position : position + size])
        position += size
    era = positions.get_era(first)
    return Batch(records, first, positions.make_position(era, end))


def decode_keyed(
    record: bytes, offset: positions.Position
) -> KeyedRecord | None:
    """Decode a record of a keyed topic, or return None without a valid key."""
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    try:
        key = record[1:end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, record[end:] or None, offset)
