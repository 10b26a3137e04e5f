"""Execution of one attempt at an endpoint."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.controllers import claiming
from bronzetrack.controllers import delivery
from bronzetrack.controllers import results
from bronzetrack.core import controllers
from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.dispatch import events
from bronzetrack.dispatch import pace
from bronzetrack.dispatch import state as states
from bronzetrack.endpoints import reports
from bronzetrack.idempotency import requests as key_requests
from bronzetrack.retries import events as crash_events
from bronzetrack.retries import suspects
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import clock
    from bronzetrack.endpoints import client as endpoint_client

LOG = logging.getLogger(__name__)
# A silence that is detected later than its limit by more than this margin was
# caused by a pause of this VM. Such a pause closes streams whose next chunks
# wait in the socket.
PAUSE_MARGIN_MS = 500
MAX_PAUSES = 3
CANCEL_RETRY_MS = 500
CANCEL_ATTEMPTS = 60
CRASH_RECORD_TIMEOUT_MS = 1_000
# Reasons for which an attempt did not run: the endpoint received no byte, or
# lacked the adapter version.
NOT_RUN_REASONS = frozenset(
    {failures.Reason.ENDPOINT_UNREACHABLE, failures.Reason.LOAD_FAILED}
)


class Run:
    """Executes one attempt: claims its key, dispatches it, relays the answer.

    :param read_clock: returns the current time
    :param work: the work of the attempt; without a key nothing is claimed
    :param sender: the VM that receives the answer
    :param endpoint: the endpoint that the work is dispatched to
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
        self._endpoint = endpoint
        self._next_number = work.resume_from
        self._last_data_ms = 0
        self._first_chunk_ms: int | None = None
        self._dispatched = False
        self._sent_wall_ms = 0
        self._resumed = work.resume_of is not None
        self._delivery = delivery.AnswerDelivery(
            board,
            ports,
            read_clock,
            work,
            sender,
            resumable=work.stream and endpoint.is_engine,
        )
        self._boot = self._get_queue().boot
        self._initial_crashes = self._list_crashes()
        self._result = results.ResultCollector(work, board.vm)
        self._claimer: claiming.KeyClaimer | None = None
        if work.key is not None and work.resume_of is None:
            self._claimer = claiming.KeyClaimer(
                board, read_clock, work, work.key
            )

    async def execute(self, scope: anyio.CancelScope) -> None:
        """Execute the attempt until its answer ended or it is cancelled.

        The result is posted to the mailbox `runs`.
        """
        failure: failures.Failure | None = None
        with scope:
            failure = await self._check_and_dispatch()
        if scope.cancelled_caught:
            failure = failures.Failure(failures.Reason.CANCELLED)
            with anyio.CancelScope(shield=True):
                await self._clean_up_cancelled()
        self._board.mailboxes["runs"].post(
            events.RunEnded(
                self._work.endpoint,
                self._work.attempt,
                failure,
                self._first_chunk_ms,
            )
        )

    async def _check_and_dispatch(self) -> failures.Failure | None:
        rejection = suspects.check_dispatch(
            self._board.suspects.value,
            self._work.fingerprint,
            self._work.isolated,
            self._work.crashes,
        )
        if rejection is not None and self._work.resume_of is None:
            await self._send_end(outcomes.Outcome.REFUSED, rejection)
            return rejection
        if self._work.crashes:
            crashes_received = crash_events.CrashesReceived(
                self._work.fingerprint, self._work.crashes
            )
            self._board.mailboxes["suspects"].post(crashes_received)
        if self._claimer is not None:
            refusal = await self._claimer.claim()
            if refusal is not None:
                await self._send_end(refusal.outcome, refusal.failure)
                return refusal.failure
        return await self._dispatch()

    async def _dispatch(self) -> failures.Failure | None:
        self._dispatched = True
        sent = self._read_clock()
        self._sent_wall_ms = sent.wall_ms
        try:
            await self._read_answer(sent.monotonic_ms)
        except errors.FailureError as error:
            failure = await self._end_with_failure(error.failure)
            if failure.reason is failures.Reason.ENDPOINT_SILENT:
                # The endpoint may still run the work.
                await self._cancel_at_engine()
            return failure
        if self._work.isolated and self._initial_crashes:
            suspect_completed = crash_events.SuspectCompleted(
                self._work.fingerprint, tuple(sorted(self._initial_crashes))
            )
            self._board.mailboxes["suspects"].post(suspect_completed)
        self._record_result(outcomes.Outcome.COMPLETED)
        await self._send_end(outcomes.Outcome.COMPLETED, None)
        return None

    async def _read_answer(self, sent_ms: int) -> None:
        """Relay the answer, and resume it at an engine after a silence.

        A stream that yields no further chunk after it was resumed is lost,
        unless this VM was paused in the meantime.

        :param sent_ms: monotonic time of the dispatch
        :raises errors.FailureError: the answer was not completed
        """
        work = self._work
        pauses = 0
        while True:
            self._last_data_ms = self._read_clock().monotonic_ms
            try:
                async with self._ports.endpoints.open_answer(
                    self._endpoint, work
                ) as answer:
                    await self._relay(answer, sent_ms)
                return
            except errors.FailureError as error:
                if error.failure.reason is not failures.Reason.ENDPOINT_SILENT:
                    raise
                self._log_silence()
                if not self._endpoint.is_engine:
                    raise
                if self._next_number == work.resume_from:
                    if pauses == MAX_PAUSES or not self._was_paused():
                        raise
                    pauses += 1
            self._resumed = True
            work = attrs.evolve(
                self._work,
                resume_of=self._engine_attempt,
                resume_from=self._next_number,
            )

    def _was_paused(self) -> bool:
        silent_ms = self._read_clock().monotonic_ms - self._last_data_ms
        limit_ms = self._board.settings.limits.stream_silence_ms
        return silent_ms > limit_ms + PAUSE_MARGIN_MS

    @property
    def _engine_attempt(self) -> str:
        """The attempt under which the endpoint runs the work."""
        return self._work.resume_of or self._work.attempt

    def _log_silence(self) -> None:
        LOG.warning(
            "endpoint stopped sending within an answer",
            extra={
                "event": "endpoint_silent",
                "request_id": self._work.request,
                "attempt_id": self._work.attempt,
                "endpoint": self._work.endpoint,
                "chunks": self._next_number,
            },
        )

    async def _relay(
        self, answer: endpoint_client.EndpointAnswer, sent_ms: int
    ) -> None:
        if answer.replacement_failure is not None:
            raise errors.FailureError(answer.replacement_failure)
        self._result.start(answer.status, answer.content_type)
        started = messages.AnswerStarted(
            self._work.attempt, answer.status, answer.content_type
        )
        await self._relay_message(started)
        timer = pace.ChunkTimer()
        async for data in answer.iterate_chunks():
            self._last_data_ms = self._read_clock().monotonic_ms
            chunk_ms = timer.record_chunk(self._last_data_ms)
            if chunk_ms is not None:
                self._board.mailboxes["runs"].post(
                    events.ChunksForwarded(self._work.endpoint, chunk_ms)
                )
            if self._first_chunk_ms is None:
                self._first_chunk_ms = self._last_data_ms - sent_ms
            self._result.add(data)
            chunk = messages.AnswerChunk(
                self._work.attempt, self._next_number, data, answer.has_ended
            )
            await self._relay_message(chunk)
            self._next_number += 1

    async def _end_with_failure(
        self, failure: failures.Failure
    ) -> failures.Failure:
        """Send the end of a failed attempt to the entry VM.

        :returns: the failure, with a refined reason if a crash was ruled out
        """
        # A failure to resume gives no evidence that the original run did not
        # start.
        if failure.reason in NOT_RUN_REASONS and not self._resumed:
            return await self._end_not_run(failure)
        if failure.reason is failures.Reason.ENDPOINT_CRASHED:
            failure = await self._classify_crash(failure)
        outcome = (
            outcomes.Outcome.FAILED
            if self._work.key is None
            else outcomes.Outcome.UNKNOWN
        )
        self._record_result(outcome)
        await self._send_end(outcome, failure)
        return failure

    async def _end_not_run(
        self, failure: failures.Failure
    ) -> failures.Failure:
        """End an attempt that the endpoint did not start to run."""
        self._dispatched = False
        if self._claimer is None:
            await self._send_end(outcomes.Outcome.REFUSED, failure)
            return failure
        refusal = await self._claimer.void()
        await self._send_end(refusal.outcome, refusal.failure)
        return failure

    async def _classify_crash(
        self, failure: failures.Failure
    ) -> failures.Failure:
        """Determine whether the engine crashed or only the connection broke.

        A crash is posted to the mailbox `suspects`.

        :returns: the failure with its final reason
        """
        if self._boot:
            report = await self._ports.endpoints.read_report(self._endpoint)
            if (
                isinstance(report, reports.LoadReport)
                and report.boot == self._boot
            ):
                return failures.Failure(
                    failures.Reason.ANSWER_INCOMPLETE, failure.detail
                )
        crash = crash_events.CrashObserved(
            self._work.endpoint,
            self._boot,
            self._list_running(),
            self._sent_wall_ms,
        )
        self._board.mailboxes["suspects"].post(crash)
        # The slot is released only after the crash is in the suspect table of
        # this VM, so that the next run at this endpoint is checked against it.
        with anyio.move_on_after(CRASH_RECORD_TIMEOUT_MS / 1000):
            while self._list_crashes() <= self._initial_crashes:
                await self._board.suspects.wait_change(
                    self._board.suspects.revision
                )
        return failure

    def _list_running(self) -> tuple[str, ...]:
        """Return the fingerprints of the requests that ran in this boot."""
        queue = self._get_queue()
        if queue.boot != self._boot:
            return (self._work.fingerprint,)
        running = {item.work.fingerprint for item in queue.running.values()}
        return tuple(sorted(running | {self._work.fingerprint}))

    def _list_crashes(self) -> frozenset[str]:
        table = self._board.suspects.value
        return table.list_crashes(self._work.fingerprint, self._work.crashes)

    def _get_queue(self) -> states.EndpointQueue:
        queues = self._board.dispatch.value.endpoints
        return queues.get(self._work.endpoint, states.EndpointQueue())

    async def _clean_up_cancelled(self) -> None:
        """Clean up after a cancelled attempt.

        Before the dispatch the claim is voided. After the dispatch the result
        of the key is recorded as unknown, and the work is cancelled at the
        engine.
        """
        if not self._dispatched:
            if self._claimer is not None:
                await self._claimer.void()
            return
        if self._work.key is not None:
            self._record_result(outcomes.Outcome.UNKNOWN)
        await self._cancel_at_engine()

    async def _cancel_at_engine(self) -> None:
        """Send cancels until the engine confirms one, or the tries run out."""
        if not self._endpoint.is_engine:
            return
        # The slot and the pin are kept until the engine confirms. An engine
        # that is unreachable for the whole time has been given up by then.
        for _ in range(CANCEL_ATTEMPTS):
            failure = await self._ports.endpoints.cancel(
                self._endpoint, self._engine_attempt
            )
            if failure is None:
                return
            await anyio.sleep(CANCEL_RETRY_MS / 1000)

    def _record_result(self, outcome: outcomes.Outcome) -> None:
        record = self._result.make_record(outcome)
        if record is not None:
            request = key_requests.AppendKey(record)
            self._board.mailboxes["keys"].post(request)

    async def _send_end(
        self, outcome: outcomes.Outcome, failure: failures.Failure | None
    ) -> None:
        await self._delivery.send_end(outcome, self._next_number, failure)

    async def _relay_message(self, message: Any) -> None:
        """Send a part of the answer to the entry VM.

        :raises errors.FailureError: the answer has no recipient, and without a
            key it cannot be requested later
        """
        send_failure = await self._delivery.send_part(message)
        if send_failure is not None and self._work.key is None:
            await self._ports.endpoints.cancel(
                self._endpoint, self._engine_attempt
            )
            raise errors.FailureError(send_failure)
