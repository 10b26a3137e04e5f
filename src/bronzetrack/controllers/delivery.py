"""Passes an answer on to the VM that wants it."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs

from bronzetrack.controllers import submission
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.core import messages as core_messages
from bronzetrack.dispatch import readers
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import clock

LOG = logging.getLogger(__name__)
# A broken session is usually open again after 0.5 s, and a full queue of a
# living peer is sent within a second.
SEND_TIMEOUT_MS = 5_000
SEND_RETRY_MS = 20


class AnswerDelivery:
    """Sends the parts and the end of one answer.

    :param reader: the VM that gets the answer
    :param resumable: whether the reader can ask the endpoint for the rest
    """

    def __init__(
        self,
        board: boards.Blackboard,
        ports: controllers.Ports,
        read_clock: Callable[[], clock.Instant],
        work: messages.SubmitWork,
        reader: str,
        resumable: bool,
    ) -> None:
        self._board = board
        self._ports = ports
        self._read_clock = read_clock
        self._work = work
        self._reader = reader
        self._incarnation = submission.get_incarnation(board, reader)
        self._resumable = resumable
        self._lost_ms = 0
        self._unsent: failures.Failure | None = None

    async def send_part(self, message: Any) -> failures.Failure | None:
        """Send a part of the answer, unless an earlier one was not taken.

        :returns: why nobody reads the rest, if that is so
        """
        if self._unsent is None:
            now_ms = self._read_clock().monotonic_ms
            self._unsent = await self._deliver(message)
            if self._unsent is None:
                return None
            self._lost_ms = now_ms
        return self._unsent if self._is_reader_gone() else None

    async def send_end(
        self,
        outcome: outcomes.Outcome,
        number: int,
        failure: failures.Failure | None,
    ) -> None:
        """Send the end, if the reader took what came before.

        :param number: how many chunks the answer has
        """
        if self._unsent is not None and not self._is_unsendable():
            return
        end = messages.AnswerEnd(self._work.attempt, outcome, number, failure)
        unsent = await self._deliver(end)
        if failure is None or unsent is None:
            return
        if unsent.reason in core_messages.UNSENDABLE:
            bare = failures.Failure(failure.reason, "the detail is left out")
            await self._deliver(attrs.evolve(end, failure=bare))

    def _is_unsendable(self) -> bool:
        return (
            self._unsent is not None
            and self._unsent.reason in core_messages.UNSENDABLE
        )

    def _is_reader_gone(self) -> bool:
        return self._is_unsendable() or readers.is_reader_gone(
            self._board.ownership.value,
            self._incarnation,
            self._resumable,
            self._lost_ms,
            self._read_clock().monotonic_ms,
        )

    async def _deliver(self, message: Any) -> failures.Failure | None:
        """Send a message, waiting while the queue of the peer is full.

        :returns: why it was not sent
        """
        deadline_ms = self._read_clock().monotonic_ms + SEND_TIMEOUT_MS
        while True:
            unsent = self._ports.peers.post(self._reader, message)
            if unsent is None or unsent.reason in core_messages.UNSENDABLE:
                return unsent
            if self._read_clock().monotonic_ms >= deadline_ms:
                LOG.warning(
                    "answer has no reader",
                    extra={
                        "event": "answer_dropped",
                        "request_id": self._work.request,
                        "attempt_id": self._work.attempt,
                    },
                )
                return failures.Failure(
                    failures.Reason.PEER_UNREACHABLE,
                    f"{self._reader} does not take the answer",
                )
            await anyio.sleep(SEND_RETRY_MS / 1000)
