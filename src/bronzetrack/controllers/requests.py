"""Controller of the requests that callers send to this VM."""

from __future__ import annotations

import logging
from typing import Any
import uuid

import anyio
import attrs

from bronzetrack.controllers import settling
from bronzetrack.controllers import submission
from bronzetrack.core import blackboard
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.core import messages as core_messages
from bronzetrack.idempotency import settlement
from bronzetrack.metrics import counters
from bronzetrack.retries import policy as retry_policy
from bronzetrack.retries import suspects as suspect_tables
from bronzetrack.routing import candidates
from bronzetrack.streaming import losses
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import output as outputs
from bronzetrack.streaming import progress as progresses
from bronzetrack.streaming import requests

LOG = logging.getLogger(__name__)
STEP_INTERVAL_MS = 250
# A wake-up costs more than a chunk. Chunks of other streams that arrive within
# this delay are therefore processed in the same step. The limit between tokens
# is 52 ms.
BATCH_DELAY_MS = 2
ROUTE_RETRY_MS = 250
# A suspected request may run at only one endpoint, and waits until that
# endpoint is available again.
ISOLATED_RETRY_MS = 1_000


@controllers.CONTROLLERS.register("requests")
class RequestsController(controllers.Controller):
    """Routes attempts, assembles answers, and retries failed attempts.

    Requests with an idempotency key whose outcome is uncertain are settled by
    the records of the key.
    """

    name = "requests"

    async def run(self) -> None:
        self._outputs: dict[str, outputs.Output] = {}
        self._attempts: dict[str, progresses.Progress] = {}
        self._budget = retry_policy.RetryBudget()
        self._last_sweep_ms = 0
        while True:
            await self._wait_until_due()
            await anyio.sleep(BATCH_DELAY_MS / 1000)
            now_ms = self.read_clock().monotonic_ms
            for item in self.board.mailboxes["intake"].take():
                self._handle_intake(item, now_ms)
            for delivery in self.board.mailboxes["answers"].take():
                self._receive(delivery, now_ms)
            self._check_settling(now_ms)
            if now_ms - self._last_sweep_ms >= STEP_INTERVAL_MS:
                self._sweep(now_ms)

    @property
    def _open_requests(self) -> dict[str, progresses.Progress]:
        return self.board.requests.value.open

    async def _wait_until_due(self) -> None:
        waits = [
            self.board.mailboxes["intake"].is_not_empty(),
            self.board.mailboxes["answers"].is_not_empty(),
        ]
        if any(
            progress.stage is progresses.Stage.SETTLING
            for progress in self._open_requests.values()
        ):
            revision = self.board.keys.revision
            waits.append(self.board.keys.is_newer(revision))
        # Without open requests no deadline or interval can expire.
        timeout_ms = STEP_INTERVAL_MS if self._open_requests else None
        await blackboard.wait_any(*waits, timeout_ms=timeout_ms)

    def _sweep(self, now_ms: int) -> None:
        """Handle deadlines, lost answers, due retries and silent attempts."""
        self._last_sweep_ms = now_ms
        sessions = self.ports.peers.list_sessions()
        incarnations = {
            name: state.incarnation
            for name, state in self.board.membership.value.vms.items()
        }
        for progress in list(self._open_requests.values()):
            if progress.stage is progresses.Stage.SETTLING:
                continue
            if now_ms >= progress.request.deadline_ms:
                self._expire(progress, now_ms)
            elif progress.stage is progresses.Stage.RUNNING:
                loss = losses.find_loss(
                    progress, self.board.vm, sessions, incarnations, now_ms
                )
                if loss is not None:
                    self._recover_lost(progress, loss, now_ms)
            elif now_ms >= progress.due_ms:
                self._route(progress, now_ms)
        self._probe(now_ms)

    def _probe(self, now_ms: int) -> None:
        silent = losses.group_silent_requests(
            self._open_requests.values(), self.board.vm, now_ms
        )
        for owner, silent_requests in silent.items():
            chosen = silent_requests[: losses.MAX_PROBED_ATTEMPTS]
            attempts = tuple(progress.attempt for progress in chosen)
            self.ports.peers.send(owner, messages.ProbeWork(attempts))
            for progress in chosen:
                progress.heard_ms = now_ms

    def _handle_intake(self, item: Any, now_ms: int) -> None:
        if isinstance(item, requests.CallerDisconnected):
            progress = self._open_requests.get(item.request)
            if progress is not None:
                self._close_disconnected(progress)
            return
        if isinstance(item, requests.Refusal):
            self._record_refusal(item)
            return
        progress = progresses.Progress(item.request, arrived_ms=now_ms)
        self._outputs[item.request.request] = item.output
        self._open_requests[item.request.request] = progress
        self._budget = self._budget.credit()
        self._notify_change()
        self._route(progress, now_ms)

    def _close_disconnected(self, progress: progresses.Progress) -> None:
        self._cancel(progress)
        self._close(
            progress,
            outcomes.Outcome.UNKNOWN,
            failures.Failure(failures.Reason.CANCELLED),
        )

    def _cancel(self, progress: progresses.Progress) -> None:
        """Cancel the current attempt unless it runs under a key.

        The result of an attempt under a key may still be requested.
        """
        running = progress.stage is progresses.Stage.RUNNING
        if running and progress.request.key is None:
            cancel = messages.CancelWork(progress.attempt)
            self.ports.peers.send(progress.owner, cancel)

    def _receive(self, delivery: core_messages.Delivery, now_ms: int) -> None:
        match delivery.message:
            case messages.ProbeWork(attempts=attempts):
                self._answer_probe(delivery.sender, attempts)
            case messages.WorkUnknown(attempts=attempts):
                for attempt in attempts:
                    self._recover_unknown(attempt, delivery.sender, now_ms)
            case message:
                progress = self._attempts.get(message.attempt)
                if progress is not None:
                    progress.heard_ms = now_ms
                    self._apply_answer(progress, message, now_ms)

    def _answer_probe(self, sender: str, attempts: tuple[str, ...]) -> None:
        known_attempts = {
            attempt
            for queue in self.board.dispatch.value.endpoints.values()
            for attempt in (
                *queue.running,
                *(item.work.attempt for item in queue.waiting),
            )
        }
        unknown_attempts = tuple(
            name for name in attempts if name not in known_attempts
        )
        if unknown_attempts:
            self.ports.peers.send(
                sender, messages.WorkUnknown(unknown_attempts)
            )

    def _recover_unknown(self, attempt: str, sender: str, now_ms: int) -> None:
        progress = self._attempts.get(attempt)
        if progress is None or progress.owner != sender:
            return
        if progress.stage is progresses.Stage.RUNNING:
            loss = failures.Failure(
                failures.Reason.ANSWER_INCOMPLETE,
                f"{sender} no longer has the work",
            )
            self._recover_lost(progress, loss, now_ms)

    def _apply_answer(
        self, progress: progresses.Progress, message: Any, now_ms: int
    ) -> None:
        match message:
            case messages.AnswerStarted():
                progress.head = message
            case messages.AnswerChunk() if progress.head is not None:
                if progress.assembler.next_number == message.number == 0:
                    counters.observe_first_chunk(
                        progress.request.work_class,
                        now_ms - progress.arrived_ms,
                    )
                for data in progress.assembler.accept(message):
                    if not self._forward_chunk(progress, data):
                        self._close_overflowed(progress)
                        return
            case messages.AnswerEnd(failure=None):
                progress.assembler.set_total(message)
            case messages.AnswerEnd(outcome=outcome, failure=failure):
                # While the request waits for the records of its key, only a
                # complete answer has an effect.
                if progress.stage is progresses.Stage.RUNNING:
                    self._recover(progress, outcome, failure, False, now_ms)
                return
        if progress.assembler.is_whole and progress.head is not None:
            self._close(progress, outcomes.Outcome.COMPLETED, None)
        elif progress.head is not None and not progress.assembler.has_gap:
            progress.gap_ms = None
        elif progress.gap_ms is None:
            progress.gap_ms = now_ms

    def _forward_chunk(
        self, progress: progresses.Progress, data: bytes
    ) -> bool:
        if progress.request.stream:
            self._start_output(progress)
            return self._get_output(progress).post_chunk(data)
        progress.parts.append(data)
        size = sum(len(part) for part in progress.parts)
        return size <= outputs.MAX_UNREAD_BYTES

    def _start_output(self, progress: progresses.Progress) -> None:
        if progress.begun or progress.head is None:
            return
        progress.begun = True
        self._get_output(progress).post(
            outputs.Started(
                progress.endpoint,
                progress.owner,
                progress.head.status,
                progress.head.content_type,
            )
        )

    def _get_output(self, progress: progresses.Progress) -> outputs.Output:
        return self._outputs[progress.request.request]

    def _close_overflowed(self, progress: progresses.Progress) -> None:
        self._cancel(progress)
        failure = failures.Failure(
            failures.Reason.ANSWER_INCOMPLETE,
            f"the caller left {outputs.MAX_UNREAD_BYTES} bytes unread",
        )
        self._close(progress, outcomes.Outcome.UNKNOWN, failure)

    def _recover_lost(
        self,
        progress: progresses.Progress,
        failure: failures.Failure,
        now_ms: int,
    ) -> None:
        """Recover from the loss of an answer between VMs."""
        self._recover(
            progress, outcomes.Outcome.UNKNOWN, failure, True, now_ms
        )

    def _recover(
        self,
        progress: progresses.Progress,
        outcome: outcomes.Outcome,
        failure: failures.Failure,
        lost: bool,
        now_ms: int,
    ) -> None:
        """Retry, resume, settle or end a request after a failed attempt.

        :param lost: whether the answer was lost between VMs, so that the
            endpoint may still run the work
        """
        progress.failure = failure
        refused = outcome is outcomes.Outcome.REFUSED
        if progress.request.repeatable and not refused:
            progress.may_have_run = True
        if failure.reason is failures.Reason.ENDPOINT_CRASHED:
            progress.isolated = True
        failed = retry_policy.FailedAttempt(
            outcome=outcome,
            failure=failure,
            lost=lost,
            repeatable=progress.request.repeatable,
            resumable=submission.can_resume(self.board, progress),
            isolated=submission.is_isolated(self.board, progress),
            attempts=progress.attempts,
            resumes=progress.resumes,
            chunks_passed=progress.chunks_passed,
        )
        match retry_policy.decide_recovery(failed, self._budget):
            case retry_policy.Recovery.RETRY:
                if lost:
                    self._cancel(progress)
                self._retry(progress, outcome, now_ms)
            case retry_policy.Recovery.WAIT:
                progress.stage = progresses.Stage.ROUTING
                progress.due_ms = now_ms + ISOLATED_RETRY_MS
            case retry_policy.Recovery.RESUME:
                self._resume(progress, now_ms)
            case retry_policy.Recovery.SETTLE:
                self._settle(progress, now_ms, void=lost)
            case retry_policy.Recovery.END:
                self._close(progress, outcome, failure)

    def _retry(
        self,
        progress: progresses.Progress,
        outcome: outcomes.Outcome,
        now_ms: int,
    ) -> None:
        if outcome is not outcomes.Outcome.REFUSED:
            self._budget = self._budget.debit()
        progress.excluded.add(progress.endpoint)
        progress.stage = progresses.Stage.ROUTING
        if submission.is_isolated(self.board, progress):
            progress.due_ms = now_ms + ISOLATED_RETRY_MS
        else:
            self._route(progress, now_ms)

    def _expire(self, progress: progresses.Progress, now_ms: int) -> None:
        failure = progress.failure or failures.Failure(
            failures.Reason.QUEUE_TIMEOUT, "the deadline of the request passed"
        )
        if progress.stage is progresses.Stage.ROUTING:
            self._close(progress, outcomes.Outcome.REFUSED, failure)
        elif progress.request.key is not None:
            self._settle(progress, now_ms, void=True)
        else:
            self._cancel(progress)
            self._close(progress, outcomes.Outcome.UNKNOWN, failure)

    def _route(self, progress: progresses.Progress, now_ms: int) -> None:
        """Submit an attempt if the key and an available endpoint permit it.

        A request that crashed endpoints is refused. Without an endpoint the
        request is routed again after `ROUTE_RETRY_MS`.
        """
        request = progress.request
        suspects = self.board.suspects.value
        if suspects.is_refused(request.fingerprint):
            failure = suspect_tables.make_refusal_failure()
            self._close(progress, outcomes.Outcome.REFUSED, failure)
            return
        if request.key is not None:
            table = self.board.keys.value
            if request.key.digest in table.entries:
                self._settle(progress, now_ms, void=False)
                return
            not_ready = settlement.check_ready(table)
            if not_ready is not None:
                self._close(progress, outcomes.Outcome.REFUSED, not_ready)
                return
        chosen = submission.choose_endpoint(self.board, progress, now_ms)
        if isinstance(chosen, failures.Failure):
            progress.failure = chosen
            progress.due_ms = now_ms + ROUTE_RETRY_MS
            return
        self._submit(progress, chosen, now_ms)

    def _submit(
        self,
        progress: progresses.Progress,
        chosen: candidates.Candidate,
        now_ms: int,
    ) -> None:
        attempt = uuid.uuid4().hex
        work = submission.make_work(
            self.board, progress, attempt, chosen.endpoint, now_ms
        )
        send_failure = self.ports.peers.try_send(chosen.owner, work)
        if send_failure is not None:
            if send_failure.reason in core_messages.UNSENDABLE:
                self._close(progress, outcomes.Outcome.REFUSED, send_failure)
                return
            progress.failure = send_failure
            progress.due_ms = now_ms + ROUTE_RETRY_MS
            return
        self._attempts.pop(progress.attempt, None)
        progress.start_attempt(attempt, now_ms)
        progress.endpoint = chosen.endpoint
        self._track_attempt(progress, chosen.owner)

    def _resume(self, progress: progresses.Progress, now_ms: int) -> None:
        """Resume the rest of a stream at the engine through this VM."""
        self._budget = self._budget.debit()
        attempt = uuid.uuid4().hex
        work = submission.make_work(
            self.board, progress, attempt, progress.endpoint, now_ms
        )
        sent = self.ports.peers.send(
            self.board.vm,
            attrs.evolve(
                work,
                resume_of=progress.engine_attempt,
                resume_from=progress.assembler.next_number,
            ),
        )
        if not sent:
            failure = failures.Failure(
                failures.Reason.QUEUE_FULL, "too much work waits at this VM"
            )
            self._close(progress, outcomes.Outcome.UNKNOWN, failure)
            return
        self._attempts.pop(progress.attempt, None)
        progress.resume_attempt(attempt, now_ms)
        self._track_attempt(progress, self.board.vm)

    def _track_attempt(self, progress: progresses.Progress, vm: str) -> None:
        """Register the current attempt and the VM that answers it."""
        self._attempts[progress.attempt] = progress
        progress.owner = vm
        progress.owner_incarnation = submission.get_incarnation(self.board, vm)
        self._notify_change()

    def _settle(
        self, progress: progresses.Progress, now_ms: int, void: bool
    ) -> None:
        """Wait for the records of the key, which determine the outcome.

        :param void: whether to append a void, so that a claim that is not in
            the log yet has no effect
        """
        settling.begin(self.board, progress, now_ms, void)
        self._notify_change()

    def _check_settling(self, now_ms: int) -> None:
        wall_ms = self.read_clock().wall_ms
        for progress in list(self._open_requests.values()):
            if progress.stage is not progresses.Stage.SETTLING:
                continue
            settled = settling.check(self.board, progress, now_ms, wall_ms)
            if settled is not None:
                self._close_settled(progress, settled)

    def _close_settled(
        self, progress: progresses.Progress, settled: settlement.Settlement
    ) -> None:
        result = settled.result
        if result is None or progress.begun:
            failure = settled.failure or failures.Failure(
                failures.Reason.ANSWER_INCOMPLETE,
                "the answer was lost after its first part",
            )
            self._close(progress, settled.outcome, failure)
            return
        progress.head = messages.AnswerStarted(
            progress.attempt, result.status, result.content_type
        )
        progress.parts = [result.answer or b""]
        progress.owner = result.vm
        progress.endpoint = result.endpoint
        self._close(progress, settled.outcome, None)

    def _close(
        self,
        progress: progresses.Progress,
        outcome: outcomes.Outcome,
        failure: failures.Failure | None,
    ) -> None:
        """End a request and post its outcome to the caller."""
        output = self._get_output(progress)
        if outcome is outcomes.Outcome.REFUSED and progress.may_have_run:
            # "Refused" guarantees that no attempt ran, including earlier ones.
            outcome = outcomes.Outcome.FAILED
        if failure is None:
            self._start_output(progress)
            for data in progress.parts:
                output.post_chunk(data)
        output.post(outputs.Ended(outcome, failure))
        del self._outputs[progress.request.request]
        self._attempts.pop(progress.attempt, None)
        counters.count_request(outcome, failure)
        table = self.board.requests.value
        del table.open[progress.request.request]
        entry = requests.make_request_entry(progress, outcome, failure)
        table.recent = (*table.recent, entry)[-requests.RECENT_REQUESTS :]
        self._notify_change()
        LOG.info(
            "request ended",
            extra={
                "event": "request_ended",
                "request_id": entry.request,
                "attempt_id": entry.attempt,
                "endpoint": entry.endpoint,
                "outcome": outcome.value,
                "reason": None if failure is None else failure.reason.value,
            },
        )

    def _record_refusal(self, refusal: requests.Refusal) -> None:
        table = self.board.requests.value
        refusals = (*table.refusals, refusal)
        table.refusals = refusals[-requests.RECENT_REQUESTS :]
        self._notify_change()

    def _notify_change(self) -> None:
        self.write(self.board.requests, self.board.requests.value)
