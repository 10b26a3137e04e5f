"""One run of work at an endpoint."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any
from typing import TYPE_CHECKING

import anyio

from bronzetrack.core import controllers
from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.dispatch import events
from bronzetrack.dispatch import pace
from bronzetrack.idempotency import decisions
from bronzetrack.idempotency import keys
from bronzetrack.idempotency import records
from bronzetrack.idempotency import requests as key_requests
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.configuration import inventory as inventories
    from bronzetrack.core import clock
    from bronzetrack.endpoints import client as endpoint_client

LOG = logging.getLogger(__name__)
CLAIM_TIMEOUT_MS = 5_000
RETURNED_STATUS = range(200, 500)


class Run:
    """Claims the key if there is one, dispatches, and relays the answer.

    :param sender: the VM that gets the answer
    """

    def __init__(
        self,
        board: boards.Blackboard,
        ports: controllers.Ports,
        read_clock: Callable[[], clock.Instant],
        work: messages.SubmitWork,
        sender: str,
        endpoint: inventories.Endpoint,
    ) -> None:
        self._board = board
        self._ports = ports
        self._read_clock = read_clock
        self._work = work
        self._sender = sender
        self._endpoint = endpoint
        self._next_number = work.resume_from
        self._first_chunk_ms: int | None = None
        self._stored: list[bytes] | None = [] if work.key else None
        self._status = 0
        self._content_type = ""

    async def execute(self, scope: anyio.CancelScope) -> None:
        """Run until the answer has ended or the scope is cancelled."""
        failure: failures.Failure | None = None
        with scope:
            failure = await self._claim_and_dispatch()
        if scope.cancelled_caught:
            failure = failures.Failure(failures.Reason.CANCELLED)
            with anyio.CancelScope(shield=True):
                await self._ports.endpoints.cancel(
                    self._endpoint, self._work.attempt
                )
        self._board.mailboxes["runs"].post(
            events.RunEnded(
                self._work.endpoint,
                self._work.attempt,
                failure,
                self._first_chunk_ms,
            )
        )

    async def _claim_and_dispatch(self) -> failures.Failure | None:
        if self._work.key is not None:
            verdict = await self._claim(self._work.key)
            if verdict is not decisions.ClaimVerdict.WON:
                return self._answer_verdict(verdict)
        return await self._dispatch()

    async def _claim(self, key: str) -> decisions.ClaimVerdict:
        claim = records.KeyClaim(
            key=key,
            vm=self._board.vm,
            incarnation=self._board.incarnation,
            attempt=self._work.attempt,
            fingerprint=self._work.fingerprint,
            issued_ms=self._work.issued_ms,
        )
        self._post_key(key_requests.AppendKey(claim))
        verdict = await self._wait_verdict(key)
        if verdict is decisions.ClaimVerdict.PENDING:
            verdict = await self._give_up_claim(key)
        expired_ms = self._work.issued_ms + keys.KEPT_MS
        if self._read_clock().wall_ms > expired_ms:
            # This process was paused for longer than the log keeps keys.
            return decisions.ClaimVerdict.PENDING
        return verdict

    async def _give_up_claim(self, key: str) -> decisions.ClaimVerdict:
        """Void the key, so that a claim still under way has no effect."""
        self._post_key(key_requests.WithdrawClaim(self._work.attempt))
        void = records.KeyVoid(
            key=key,
            incarnation=self._board.incarnation,
            attempt=self._work.attempt,
            issued_ms=self._work.issued_ms,
        )
        self._post_key(key_requests.AppendKey(void))
        verdict = await self._wait_verdict(key)
        if verdict is decisions.ClaimVerdict.WON:
            # The claim came first and the void is still under way. Nothing
            # was dispatched and this attempt ends here.
            return decisions.ClaimVerdict.PENDING
        return verdict

    def _post_key(self, request: Any) -> None:
        self._board.mailboxes["keys"].post(request)

    async def _wait_verdict(self, key: str) -> decisions.ClaimVerdict:
        verdict = decisions.ClaimVerdict.PENDING
        with anyio.move_on_after(CLAIM_TIMEOUT_MS / 1000):
            while verdict is decisions.ClaimVerdict.PENDING:
                entry = self._board.keys.value.entries.get(key)
                verdict = decisions.judge_claim(entry, self._work.attempt)
                if verdict is decisions.ClaimVerdict.PENDING:
                    await self._board.keys.wait_change(
                        self._board.keys.revision
                    )
        return verdict

    def _answer_verdict(
        self, verdict: decisions.ClaimVerdict
    ) -> failures.Failure | None:
        entry = self._board.keys.value.entries.get(self._work.key or "")
        if entry is not None and entry.result is not None:
            if entry.result.answer is not None:
                return self._answer_stored(entry.result)
        outcome, failure = decisions.describe_verdict(verdict)
        self._send_end(outcome, failure)
        return failure

    def _answer_stored(self, result: records.KeyResult) -> None:
        self._send(
            messages.AnswerStarted(
                self._work.attempt, result.status, result.content_type
            )
        )
        self._send_chunk(result.answer or b"")
        self._send_end(outcomes.Outcome(result.outcome), None)

    async def _dispatch(self) -> failures.Failure | None:
        sent_ms = self._read_clock().monotonic_ms
        try:
            async with self._ports.endpoints.open_answer(
                self._endpoint, self._work
            ) as answer:
                return await self._relay(answer, sent_ms)
        except errors.FailureError as error:
            return self._end_failed(error.failure)

    async def _relay(
        self, answer: endpoint_client.EndpointAnswer, sent_ms: int
    ) -> failures.Failure | None:
        if answer.status not in RETURNED_STATUS or answer.status == 404:
            return self._end_failed(
                failures.Failure(
                    failures.Reason.ENDPOINT_REFUSED,
                    f"the endpoint answered {answer.status}",
                )
            )
        self._status = answer.status
        self._content_type = answer.content_type
        self._send(
            messages.AnswerStarted(
                self._work.attempt, answer.status, answer.content_type
            )
        )
        timer = pace.ChunkTimer()
        async for data in answer.iterate_chunks():
            chunk_ms = timer.note_chunk(self._read_clock().monotonic_ms)
            if chunk_ms is not None:
                self._board.mailboxes["runs"].post(
                    events.ChunksPassed(self._work.endpoint, chunk_ms)
                )
            if self._first_chunk_ms is None:
                now_ms = self._read_clock().monotonic_ms
                self._first_chunk_ms = now_ms - sent_ms
            self._send_chunk(data)
        self._record_result(outcomes.Outcome.COMPLETED)
        self._send_end(outcomes.Outcome.COMPLETED, None)
        return None

    def _end_failed(self, failure: failures.Failure) -> failures.Failure:
        not_sent = failure.reason is failures.Reason.ENDPOINT_UNREACHABLE
        if self._work.key is None or not_sent:
            outcome = outcomes.Outcome.FAILED
        else:
            outcome = outcomes.Outcome.UNKNOWN
        self._record_result(outcome)
        self._send_end(outcome, failure)
        return failure

    def _record_result(self, outcome: outcomes.Outcome) -> None:
        if self._work.key is None:
            return
        answer = b"".join(self._stored or [])
        kept = len(answer) <= records.STORED_ANSWER_BYTES
        complete = outcome is outcomes.Outcome.COMPLETED
        result = records.KeyResult(
            key=self._work.key,
            attempt=self._work.attempt,
            outcome=outcome.value,
            status=self._status,
            content_type=self._content_type,
            answer=answer if kept and complete else None,
        )
        self._post_key(key_requests.AppendKey(result))

    def _send_chunk(self, data: bytes) -> None:
        if self._stored is not None:
            self._stored.append(data)
        self._send(
            messages.AnswerChunk(self._work.attempt, self._next_number, data)
        )
        self._next_number += 1

    def _send_end(
        self, outcome: outcomes.Outcome, failure: failures.Failure | None
    ) -> None:
        self._send(
            messages.AnswerEnd(
                self._work.attempt, outcome, self._next_number, failure
            )
        )

    def _send(self, message: Any) -> None:
        if not self._ports.peers.send(self._sender, message):
            LOG.debug(
                "answer has no reader",
                extra={
                    "event": "answer_dropped",
                    "request_id": self._work.request,
                    "attempt_id": self._work.attempt,
                },
            )
