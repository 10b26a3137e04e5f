"""Fake ports for controllers, which record the calls to them."""

from __future__ import annotations

import contextlib
from typing import Any

import attrs

from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.peer import hub
from bronzetrack.wire import frames


@attrs.define
class Peers:
    """Fake peer hub that records the messages that are sent.

    Messages are encoded as the hub encodes them for another VM, so that a
    message that no frame can hold fails in the same way.

    :param refusals: number of messages that are refused with a full queue
    """

    sent: list[Any] = attrs.field(factory=list)
    refusals: int = 0

    def try_send(self, vm: str, message: Any) -> failures.Failure | None:
        try:
            frames.encode_frame(hub.CODEC.encode(message))
        except errors.FailureError as error:
            return error.failure
        if self.refusals:
            self.refusals -= 1
            return failures.Failure(failures.Reason.QUEUE_FULL)
        self.sent.append(message)
        return None

    def send(self, vm: str, message: Any) -> bool:
        return self.try_send(vm, message) is None

    def list_sessions(self) -> dict[str, str]:
        return {"vm-2": ""}

    def take(self, cls: type) -> list[Any]:
        """Remove and return the sent messages of a class."""
        found = [item for item in self.sent if isinstance(item, cls)]
        self.sent = [item for item in self.sent if not isinstance(item, cls)]
        return found


@attrs.define
class Answer:
    """Fake answer of an endpoint.

    :param replacement_failure: failure instead of an answer
    :param failure: failure after the last chunk
    """

    chunks: list[bytes]
    status: int = 200
    content_type: str = "text/event-stream"
    replacement_failure: failures.Failure | None = None
    failure: failures.Failure | None = None
    has_ended: bool = False

    async def iterate_chunks(self):
        for number, data in enumerate(self.chunks):
            self.has_ended = (
                self.failure is None and number == len(self.chunks) - 1
            )
            yield data
        if self.failure is not None:
            raise errors.FailureError(self.failure)


@attrs.define
class Endpoints:
    """Fake endpoint client that returns prepared answers in order.

    :param answers: answers to return; the last one is repeated
    :param opened: work that was dispatched
    :param cancelled: attempts that were cancelled
    """

    answers: list[Answer]
    opened: list[Any] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)

    @contextlib.asynccontextmanager
    async def open_answer(self, endpoint, work):
        self.opened.append(work)
        index = min(len(self.opened), len(self.answers)) - 1
        yield self.answers[index]

    async def cancel(self, endpoint, attempt: str) -> None:
        self.cancelled.append(attempt)
