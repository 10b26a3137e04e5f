"""Client of the platform's append-only log service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import anyio
import attrs
import httpcore
import msgpack

from bronzetrack.core import failures
from bronzetrack.core import records
from bronzetrack.wire import httpclient
from bronzetrack.wire import tagged

READ_LIMIT = 1_000
# A read from this offset returns no records, but both ends of the stream.
BEYOND_END = 1 << 62
CALL_TIMEOUT_MS = 3_000
DECODING_ERRORS = (ValueError, KeyError, TypeError, IndexError, OverflowError)

CODEC = tagged.TaggedCodec(records.RECORDS, failures.Reason.LOG_UNAVAILABLE)


@attrs.frozen
class LogBatch:
    """The result of one read of a stream.

    :param start: the earliest offset that is retained
    :param end: the offset that the next append gets
    :param records: offsets and records, with a Failure in place of a record
        that this version cannot decode
    """

    start: int
    end: int
    records: tuple[tuple[int, Any], ...]


class LogClient:
    """Appends records to streams of the log service and reads them.

    :param url: base URL of the service
    :param pool: pool of HTTP connections
    """

    def __init__(self, url: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._url = url.rstrip("/")
        self._pool = pool
        self._interruptible: set[anyio.CancelScope] = set()

    async def append(
        self, stream: str, items: Sequence[Any]
    ) -> int | failures.Failure:
        """Append records to a stream in one call.

        :returns: offset of the first record, or a failure, which has the
            reason APPEND_UNCERTAIN when the records may have been appended
        """
        body = msgpack.packb([CODEC.encode(item) for item in items])
        answer = await httpclient.fetch(
            self._pool,
            "POST",
            f"{self._url}/streams/{stream}",
            CALL_TIMEOUT_MS,
            body,
            failure_reason=failures.Reason.APPEND_UNCERTAIN,
        )
        if isinstance(answer, failures.Failure):
            return answer
        if answer.status != 200:
            return _make_append_failure(answer)
        return _decode_offset(answer.body)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: int = 0,
        limit: int = READ_LIMIT,
        interruptible: bool = False,
    ) -> LogBatch | failures.Failure:
        """Read records of a stream from an offset onwards.

        :param wait_ms: milliseconds that the service may wait for a record
        :param limit: the most records to return
        :param interruptible: whether this read fails as soon as any other
            read fails because the service is unavailable
        :returns: a batch, or a failure, which has the reason LOG_TRUNCATED
            when the offset is below the retained range
        """
        scope = anyio.CancelScope()
        if interruptible:
            self._interruptible.add(scope)
        try:
            with scope:
                batch = await self._fetch_batch(stream, offset, wait_ms, limit)
        finally:
            self._interruptible.discard(scope)
        if scope.cancelled_caught:
            return failures.Failure(
                failures.Reason.LOG_UNAVAILABLE,
                "a read of another stream failed",
            )
        if (
            isinstance(batch, failures.Failure)
            and batch.reason is failures.Reason.LOG_UNAVAILABLE
        ):
            for waiting in self._interruptible:
                waiting.cancel()
        return batch

    async def _fetch_batch(
        self, stream: str, offset: int, wait_ms: int, limit: int
    ) -> LogBatch | failures.Failure:
        answer = await httpclient.fetch(
            self._pool,
            "GET",
            f"{self._url}/streams/{stream}"
            f"?from={offset}&limit={limit}&wait_ms={wait_ms}",
            wait_ms + CALL_TIMEOUT_MS,
            failure_reason=failures.Reason.LOG_UNAVAILABLE,
        )
        if isinstance(answer, failures.Failure):
            return answer
        if answer.status != 200:
            return _make_status_failure(answer)
        return _decode_batch(answer.body)


def _make_append_failure(answer: httpclient.HttpResponse) -> failures.Failure:
    # In an overload or an outage the service rejects an append. Other server
    # errors may come after the append took effect.
    if answer.status >= 500 and answer.status != 503:
        return failures.Failure(
            failures.Reason.APPEND_UNCERTAIN,
            f"the log answered {answer.status}",
        )
    return _make_status_failure(answer)


def _make_status_failure(answer: httpclient.HttpResponse) -> failures.Failure:
    reasons = {
        410: failures.Reason.LOG_TRUNCATED,
        429: failures.Reason.LOG_RATE_LIMITED,
    }
    reason = reasons.get(answer.status, failures.Reason.LOG_UNAVAILABLE)
    return failures.Failure(reason, f"the log answered {answer.status}")


def _decode_offset(body: bytes) -> int | failures.Failure:
    try:
        return int(msgpack.unpackb(body)["offset"])
    except DECODING_ERRORS as error:
        return failures.Failure(
            failures.Reason.APPEND_UNCERTAIN,
            f"bad answer: {type(error).__name__}: {error}",
        )


def _decode_batch(body: bytes) -> LogBatch | failures.Failure:
    try:
        fields = msgpack.unpackb(body)
        return LogBatch(
            start=int(fields["start"]),
            end=int(fields["end"]),
            records=tuple(
                (int(offset), CODEC.decode(data))
                for offset, data in fields["records"]
            ),
        )
    except DECODING_ERRORS as error:
        return failures.Failure(
            failures.Reason.LOG_UNAVAILABLE, f"bad answer: {error}"
        )
