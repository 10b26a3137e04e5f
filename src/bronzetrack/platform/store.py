"""The one client of the platform's store.

Records are raw bytes. A call that got no answer may have been executed, and
may still be executed later.
"""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING
from urllib import parse

import attrs

from bronzetrack.core import errors
from bronzetrack.entry import meters
from bronzetrack.platform import names

if TYPE_CHECKING:
    from bronzetrack.transport import calls

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
CALL_TIMEOUT_S = 1.0
# A long poll may be answered this much later than its longest wait.
POLL_SLACK_S = 0.8


class StoreError(errors.BronzetrackError):
    """A call of the store failed."""


class StoreUncertainError(StoreError):
    """No answer came; the call may have been or may yet be executed."""


class StoreRefusedError(StoreError):
    """The store refused a call, which did nothing."""


class OffsetConflictError(StoreRefusedError):
    """The partition did not end where a conditional append said.

    :param end: offset at which it ends
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at {end}")
        self.end = end


class RecordsExpiredError(StoreRefusedError):
    """The records asked for are no longer kept."""


@attrs.frozen
class KeyedRecord:
    """A record of a topic with keys; no value means that it was removed."""

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Batch:
    """Records that were read.

    :param first: offset of the first record
    :param end: offset after the last record of the partition
    """

    records: list[bytes]
    first: int
    end: int


class Store:
    """Calls of the store over connections that are kept open.

    :param caller: sends one call
    :param address: address of the store
    """

    def __init__(self, caller: calls.Caller, address: str) -> None:
        self._caller = caller
        self._address = address

    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """Append records and return the offset of the first.

        :param at: append only if the partition ends there
        :raises OffsetConflictError: it ends elsewhere
        :raises StoreError: another failure
        """
        query = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        body = b"".join(LENGTH.pack(len(item)) + item for item in records)
        answer = await self._call("POST", names.APPEND_PATH, query, body)
        if answer.status == 412:
            raise OffsetConflictError(_take_number(answer.body, "end"))
        self._check(answer)
        return _take_number(answer.body, "offset")

    async def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Write the value of a key, or remove the key."""
        name = key.encode()
        record = bytes([len(name)]) + name + (value or b"")
        return await self.append(topic, [record])

    async def read(self, topic: str, first: int, max_wait_s: float) -> Batch:
        """Wait for records from an offset on.

        :raises RecordsExpiredError: the offset is no longer kept
        :raises StoreError: another failure
        """
        query = {
            "topic": topic,
            "part": 0,
            "from": first,
            "max_wait_ms": int(max_wait_s * 1000),
        }
        answer = await self._call(
            "GET", names.READ_PATH, query, b"", max_wait_s + POLL_SLACK_S
        )
        if answer.status == 410:
            raise RecordsExpiredError(f"{topic} from {first}")
        self._check(answer)
        return decode_batch(answer.body, first)

    async def list_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key, and where to read on.

        Pages are no snapshot: reading goes on from the end that the first
        page stated, so that a change between pages is read again.

        :raises StoreError: a page failed
        """
        found: list[KeyedRecord] = []
        start: int | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", names.NEWEST_PATH, query, b"")
            self._check(answer)
            try:
                page = json.loads(answer.body)
                found.extend(
                    KeyedRecord(
                        item["key"],
                        base64.b64decode(item["value"]),
                        int(item["offset"]),
                    )
                    for item in page["items"]
                )
                start = int(page["end"]) if start is None else start
                if not page.get("has_more"):
                    return found, start
                after = page["items"][-1]["key"]
            except (ValueError, KeyError, TypeError, IndexError) as error:
                raise StoreRefusedError(f"bad page: {error!r}") from error

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> calls.Answer:
        target = f"{path}?{parse.urlencode(query)}"
        answer = await self._caller.call(
            self._address, method, target, body, timeout_s
        )
        status = answer.status if answer else 0
        meters.STORE_CALLS.labels(path.rpartition("/")[2], status).inc()
        if answer is None:
            raise StoreUncertainError(f"no answer to {method} {path}")
        return answer

    def _check(self, answer: calls.Answer) -> None:
        if answer.status != 200:
            raise StoreRefusedError(
                f"status {answer.status}: {answer.body[:200]!r}"
            )


def _take_number(body: bytes, name: str) -> int:
    try:
        return int(json.loads(body)[name])
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUncertainError(f"bad answer: {error!r}") from error


def decode_batch(data: bytes, first: int) -> Batch:
    """Return the records of an answer.

    :raises StoreRefusedError: the answer is malformed
    """
    if len(data) < OFFSETS.size:
        raise StoreRefusedError("an answer is shorter than its header")
    end, _ = OFFSETS.unpack_from(data)
    records = []
    position = OFFSETS.size
    while position + LENGTH.size <= len(data):
        (size,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        if position + size > len(data):
            raise StoreRefusedError("a record is cut off")
        records.append(data[position : position + size])
        position += size
    return Batch(records, first, end)


def decode_keyed(record: bytes, offset: int) -> KeyedRecord | None:
    """Return key and value of a record, or nothing if it has no key."""
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    try:
        key = record[1:end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, record[end:] or None, offset)
