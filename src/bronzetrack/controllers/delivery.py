"""Delivery of the answer of an endpoint to the VM that requested it."""

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
from bronzetrack.dispatch import recipients
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import clock

LOG = logging.getLogger(__name__)
# A broken session with a peer VM is usually open again after 0.5 s, and the
# full send queue of a live peer empties within a second.
SEND_TIMEOUT_MS = 5_000
SEND_RETRY_MS = 20


class AnswerDelivery:
    """Sends the parts and the end of one answer to a VM.

    :param read_clock: returns the current time
    :param work: the work that is answered
    :param recipient: the VM that receives the answer
    :param resumable: whether the recipient can resume the rest of the answer
        at the endpoint
    """

    def __init__(
        self,
        board: boards.Blackboard,
        ports: controllers.Ports,
        read_clock: Callable[[], clock.Instant],
        work: messages.SubmitWork,
        recipient: str,
        resumable: bool,
    ) -> None:
        self._board = board
        self._ports = ports
        self._read_clock = read_clock
        self._work = work
        self._recipient = recipient
        self._incarnation = submission.get_incarnation(board, recipient)
        self._resumable = resumable
        self._undelivered_since_ms = 0
        self._send_failure: failures.Failure | None = None

    async def send_part(self, message: Any) -> failures.Failure | None:
        """Send a part of the answer.

        After the first part that could not be sent, all later parts are
        skipped.

        :returns: the failure if the recipient can no longer receive the
            answer, otherwise None
        """
        if self._send_failure is None:
            now_ms = self._read_clock().monotonic_ms
            self._send_failure = await self._deliver(message)
            if self._send_failure is None:
                return None
            self._undelivered_since_ms = now_ms
        return self._send_failure if self._is_recipient_gone() else None

    async def send_end(
        self,
        outcome: outcomes.Outcome,
        chunk_count: int,
        failure: failures.Failure | None,
    ) -> None:
        """Send the end of the answer.

        If an earlier part failed because no frame can hold it, the end is
        still sent. After any other failed part, it is not. If no frame can
        hold the end because of the detail of its failure, the detail is left
        out.

        :param chunk_count: number of chunks in the answer
        """
        if self._send_failure is not None and not self._is_unsendable():
            return
        end = messages.AnswerEnd(
            self._work.attempt, outcome, chunk_count, failure
        )
        send_failure = await self._deliver(end)
        if failure is None or send_failure is None:
            return
        if send_failure.reason in core_messages.UNSENDABLE:
            without_detail = failures.Failure(
                failure.reason, "the detail is left out"
            )
            await self._deliver(attrs.evolve(end, failure=without_detail))

    def _is_unsendable(self) -> bool:
        return (
            self._send_failure is not None
            and self._send_failure.reason in core_messages.UNSENDABLE
        )

    def _is_recipient_gone(self) -> bool:
        return self._is_unsendable() or recipients.is_recipient_gone(
            self._board.ownership.value,
            self._incarnation,
            self._resumable,
            self._undelivered_since_ms,
            self._read_clock().monotonic_ms,
        )

    async def _deliver(self, message: Any) -> failures.Failure | None:
        """Send a message, and retry while the peer does not accept it.

        :returns: why the message was not sent, None if it was sent
        """
        deadline_ms = self._read_clock().monotonic_ms + SEND_TIMEOUT_MS
        while True:
            send_failure = self._ports.peers.try_send(self._recipient, message)
            if (
                send_failure is None
                or send_failure.reason in core_messages.UNSENDABLE
            ):
                return send_failure
            if self._read_clock().monotonic_ms >= deadline_ms:
                LOG.warning(
                    "the answer was dropped because the receiving VM did not "
                    "accept it in time",
                    extra={
                        "event": "answer_dropped",
                        "request_id": self._work.request,
                        "attempt_id": self._work.attempt,
                    },
                )
                return failures.Failure(
                    failures.Reason.PEER_UNREACHABLE,
                    f"{self._recipient} does not take the answer",
                )
            await anyio.sleep(SEND_RETRY_MS / 1000)
