"""Client of endpoints, which are engines or plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
from typing import Any

import attrs
import httpcore

from bronzetrack.configuration import inventory as inventories
from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.core import registry
from bronzetrack.endpoints import reports
from bronzetrack.ownership import leases
from bronzetrack.streaming import assembler
from bronzetrack.streaming import messages
from bronzetrack.streaming import splitter
from bronzetrack.wire import converter
from bronzetrack.wire import httpclient

ORDER_TIMEOUT_MS = leases.ORDER_LIFE_MS
REPORT_TIMEOUT_MS = 1_000
SERVER_SENT_EVENTS = "text/event-stream"
END_MARKER = b"data: [DONE]"
ANSWER_BYTES = 16_777_216
# A status report may list each adapter twice. With 1,000 adapters whose names
# have 100 characters this takes about 200 KB.
REPORT_BYTES = 1_048_576
QUOTED_CHARACTERS = 200
RETURNED_STATUS = range(200, 500)


@attrs.frozen
class EndpointRequest:
    """An HTTP request to an endpoint.

    :param path: path and query on the endpoint
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]


RequestMaker = Callable[[messages.SubmitWork], EndpointRequest]

PROTOCOLS: registry.Registry[RequestMaker] = registry.Registry(
    "endpoint protocols"
)


@PROTOCOLS.register("engine")
def make_engine_request(work: messages.SubmitWork) -> EndpointRequest:
    """Return the HTTP request that starts or resumes work at an engine."""
    headers = {"Request-Id": work.attempt}
    if work.resume_of is not None:
        path = f"/v1/requests/{work.resume_of}/resume?from={work.resume_from}"
        return EndpointRequest("GET", path, b"", headers)
    headers["Content-Type"] = work.content_type
    return EndpointRequest(work.method, work.path, work.body, headers)


@PROTOCOLS.register("service")
def make_service_request(work: messages.SubmitWork) -> EndpointRequest:
    """Return the HTTP request that starts work at a plain service."""
    headers = {"Request-Id": work.attempt, "Content-Type": work.content_type}
    return EndpointRequest(work.method, work.path, work.body, headers)


class EndpointAnswer:
    """The answer of an endpoint, which is read as it arrives.

    `status` is the HTTP status, `content_type` is the content type of the
    body, and `has_ended` states whether the end marker was passed on.

    :param response: the open response
    :param work: the work that the endpoint answers
    """

    def __init__(self, response: httpcore.Response, work: messages.SubmitWork):
        headers = httpclient.read_headers(response)
        self._response = response
        self._work = work
        self.status = response.status
        self.content_type = headers.get("content-type", "")
        self.has_ended = False

    @property
    def replacement_failure(self) -> failures.Failure | None:
        """Failure that replaces this answer, None if the caller gets it."""
        if self.status == 404 and self._work.adapter:
            return failures.Failure(
                failures.Reason.LOAD_FAILED,
                f"{self._work.adapter} is not loaded",
            )
        if self.status in RETURNED_STATUS:
            return None
        return failures.Failure(
            failures.Reason.ENDPOINT_REFUSED,
            f"the endpoint answered {self.status}",
        )

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the server-sent events or the parts of another body.

        :raises errors.FailureError: the answer ended without its end marker,
            is malformed or too large, or comes from another adapter
        """
        if not self.content_type.startswith(SERVER_SENT_EVENTS):
            body = await self._read_body()
            if self.status == 200 and self._work.adapter:
                self._check_adapter(body)
            for start in range(0, len(body), assembler.MAX_CHUNK_BYTES):
                yield body[start : start + assembler.MAX_CHUNK_BYTES]
            return
        # The adapter of a resumed answer was checked at its start.
        is_checked = self._work.resume_from > 0
        async for event in _iterate_events(self._response.aiter_stream()):
            if not is_checked:
                self._check_adapter(event.removeprefix(b"data: "))
                is_checked = True
            self.has_ended = event.startswith(END_MARKER)
            yield event
            if self.has_ended:
                return
        raise _make_error(
            failures.Reason.ANSWER_INCOMPLETE, "no end marker in the answer"
        )

    async def _read_body(self) -> bytes:
        body = await httpclient.read_body(self._response, ANSWER_BYTES)
        if body is None:
            raise _make_error(
                failures.Reason.ENDPOINT_PROTOCOL,
                f"the answer exceeds {ANSWER_BYTES} bytes",
            )
        return body

    def _check_adapter(self, body: bytes) -> None:
        try:
            model = json.loads(body).get("model")
        except (ValueError, AttributeError):
            raise _make_error(
                failures.Reason.ENDPOINT_PROTOCOL, "answer is not JSON"
            ) from None
        if model != self._work.adapter:
            raise _make_error(
                failures.Reason.WRONG_ADAPTER,
                f"answer of {_quote(model)}, wanted {self._work.adapter}",
            )


def _quote(value: Any) -> str:
    """Return a value from an endpoint as short ASCII text.

    The text becomes part of a failure detail, which is also sent to peers.
    """
    return ascii(value)[:QUOTED_CHARACTERS]


async def _iterate_events(
    parts: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    events = splitter.EventSplitter()
    async for part in parts:
        for event in events.split(part):
            yield event + splitter.BOUNDARY
        if len(events.pending) > assembler.MAX_EVENT_BYTES:
            raise _make_error(
                failures.Reason.ENDPOINT_PROTOCOL,
                f"an event exceeds {assembler.MAX_EVENT_BYTES} bytes",
            )


def _make_error(reason: failures.Reason, detail: str) -> errors.FailureError:
    return errors.FailureError(failures.Failure(reason, detail))


class EndpointClient:
    """Sends requests and orders to endpoints.

    :param pool: pool of HTTP connections
    :param silence_ms: milliseconds without a byte after which a stream counts
        as lost
    """

    def __init__(
        self, pool: httpcore.AsyncConnectionPool, silence_ms: int
    ) -> None:
        self._pool = pool
        self._silence_ms = silence_ms

    @contextlib.asynccontextmanager
    async def open_answer(
        self, endpoint: inventories.Endpoint, work: messages.SubmitWork
    ) -> AsyncIterator[EndpointAnswer]:
        """Send work to an endpoint and open the answer.

        :raises errors.FailureError: ENDPOINT_UNREACHABLE when no byte was
            sent, ENDPOINT_SILENT when no byte of a stream arrived for too
            long, ANSWER_INCOMPLETE when another answer timed out, or
            ENDPOINT_CRASHED when the connection broke
        """
        request = PROTOCOLS.lookup(endpoint.kind.value)(work)
        timeout_ms = max(1, work.timeout_ms)
        if work.stream:
            timeout_ms = min(self._silence_ms, timeout_ms)
        try:
            async with httpclient.open_stream(
                self._pool,
                request.method,
                _make_url(endpoint) + request.path,
                timeout_ms,
                request.body,
                request.headers,
            ) as response:
                yield EndpointAnswer(response, work)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise _make_error(
                failures.Reason.ENDPOINT_UNREACHABLE, repr(error)
            ) from None
        except httpcore.PoolTimeout as error:
            raise _make_error(
                failures.Reason.ENDPOINT_UNREACHABLE, repr(error)
            ) from None
        except httpcore.TimeoutException as error:
            if work.stream:
                raise _make_error(
                    failures.Reason.ENDPOINT_SILENT,
                    f"no byte for {timeout_ms} ms",
                ) from None
            raise _make_error(
                failures.Reason.ANSWER_INCOMPLETE, repr(error)
            ) from None
        except httpclient.ERRORS as error:
            raise _make_error(
                failures.Reason.ENDPOINT_CRASHED, repr(error)
            ) from None

    async def load_adapter(
        self, endpoint: inventories.Endpoint, adapter: str, fencing: int
    ) -> failures.Failure | None:
        """Order an engine to load an adapter version.

        :param fencing: fencing token of the order
        :returns: a failure, None on success
        """
        return await self._send_order(
            endpoint, "/v1/load_lora_adapter", {"lora_name": adapter}, fencing
        )

    async def unload_adapter(
        self, endpoint: inventories.Endpoint, adapter: str, fencing: int
    ) -> failures.Failure | None:
        """Order an engine to unload an adapter version.

        :param fencing: fencing token of the order
        :returns: a failure, None on success
        """
        return await self._send_order(
            endpoint,
            "/v1/unload_lora_adapter",
            {"lora_name": adapter},
            fencing,
        )

    async def cancel(
        self, endpoint: inventories.Endpoint, attempt: str
    ) -> failures.Failure | None:
        """Ask an engine to cancel an attempt of a request.

        :returns: a failure, None on success
        """
        return await self._send_order(
            endpoint, f"/v1/requests/{attempt}/cancel", {}, None
        )

    async def read_report(
        self, endpoint: inventories.Endpoint
    ) -> reports.LoadReport | failures.Failure:
        """Return the status report of an engine, or a failure."""
        answer = await httpclient.fetch(
            self._pool,
            "GET",
            _make_url(endpoint) + "/load",
            REPORT_TIMEOUT_MS,
            limit_bytes=REPORT_BYTES,
        )
        if isinstance(answer, failures.Failure):
            return answer
        try:
            return converter.WIRE.structure(
                json.loads(answer.body), reports.LoadReport
            )
        # cattrs raises many types of exceptions for corrupt input.
        except Exception as error:
            return converter.describe_failure(
                failures.Reason.ENDPOINT_PROTOCOL, error
            )

    async def _send_order(
        self,
        endpoint: inventories.Endpoint,
        path: str,
        fields: dict[str, Any],
        fencing: int | None,
    ) -> failures.Failure | None:
        headers = {"Content-Type": "application/json"}
        if fencing is not None:
            headers["Fencing-Number"] = str(fencing)
        answer = await httpclient.fetch(
            self._pool,
            "POST",
            _make_url(endpoint) + path,
            ORDER_TIMEOUT_MS,
            json.dumps(fields).encode(),
            headers,
            limit_bytes=REPORT_BYTES,
        )
        if isinstance(answer, failures.Failure):
            return answer
        if answer.status == 200:
            return None
        reason = (
            failures.Reason.FENCED
            if answer.status == 412
            else failures.Reason.ENDPOINT_REFUSED
        )
        detail = answer.body[:200].decode(errors="replace")
        return failures.Failure(reason, f"{answer.status} {detail}")


def _make_url(endpoint: inventories.Endpoint) -> str:
    return f"http://{endpoint.host}:{endpoint.port}"
