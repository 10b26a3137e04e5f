"""Carries the requests that callers bring to this VM to their answers."""

from __future__ import annotations

import logging
from typing import Any
import uuid

import anyio
import attrs

from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.idempotency import decisions
from bronzetrack.idempotency import records as key_records
from bronzetrack.idempotency import requests as key_requests
from bronzetrack.membership import summaries
from bronzetrack.metrics import counters
from bronzetrack.retries import policy as retry_policy
from bronzetrack.routing import candidates
from bronzetrack.routing import choice
from bronzetrack.streaming import assembler
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import requests

LOG = logging.getLogger(__name__)
STEP_INTERVAL_MS = 250
# A wake-up costs more than a chunk, so chunks of other streams that arrive
# meanwhile are taken along; 52 ms are allowed between tokens.
GATHER_MS = 2
ROUTE_RETRY_MS = 250


@attrs.define
class Progress:
    """What the controller holds of one request in progress.

    :param retry_ms: monotonic time at which to route again
    :param excluded: endpoints on which an attempt failed
    :param considered: endpoints that the latest choice was made from
    """

    exchange: requests.Exchange
    assembler: assembler.Assembler
    arrived_ms: int = 0
    endpoint: str = ""
    owner: str = ""
    attempts: int = 0
    retry_ms: int | None = 0
    excluded: set[str] = attrs.field(factory=set)
    failure: failures.Failure | None = None
    started: bool = False
    end: messages.AnswerEnd | None = None
    voiding: bool = False
    considered: tuple[candidates.Candidate, ...] = ()

    @property
    def request(self) -> requests.CallerRequest:
        return self.exchange.request


@controllers.CONTROLLERS.register("requests")
class RequestsController(controllers.Controller):
    """Routes attempts, assembles answers, retries."""

    name = "requests"

    async def run(self) -> None:
        self._open: dict[str, Progress] = {}
        self._attempts: dict[str, Progress] = {}
        self._budget = retry_policy.RetryBudget()
        intake = self.board.mailboxes["intake"]
        answers = self.board.mailboxes["answers"]
        while True:
            await controllers.wait_first(
                intake.wait_items,
                answers.wait_items,
                timeout_ms=STEP_INTERVAL_MS,
            )
            await anyio.sleep(GATHER_MS / 1000)
            now_ms = self.read_clock().monotonic_ms
            for item in intake.take():
                self._take_in(item, now_ms)
            for delivery in answers.take():
                self._receive(delivery.message, now_ms)
            for progress in list(self._open.values()):
                self._advance(progress, now_ms)

    def _take_in(self, item: Any, now_ms: int) -> None:
        if isinstance(item, requests.Refusal):
            self._record_refusal(item)
            return
        if isinstance(item, requests.Abandoned):
            progress = self._open.get(item.request)
            if progress is not None:
                self._abandon(progress)
            return
        progress = Progress(item, assembler.Assembler(""), now_ms)
        self._open[item.request.request] = progress
        self._budget = self._budget.credit()
        self._note(progress)

    def _abandon(self, progress: Progress) -> None:
        attempt = progress.assembler.attempt
        # Work under a key runs on, since its caller may ask for the result.
        if attempt and progress.request.key is None:
            self.ports.peers.send(progress.owner, messages.CancelWork(attempt))
        self._close(
            progress,
            outcomes.Outcome.UNKNOWN,
            failures.Failure(failures.Reason.CANCELLED),
        )

    def _receive(self, message: Any, now_ms: int) -> None:
        progress = self._attempts.get(message.attempt)
        if progress is None:
            return
        if progress.assembler.attempt != message.attempt:
            return
        match message:
            case messages.AnswerStarted():
                self._begin_answer(progress, message)
            case messages.AnswerChunk():
                self._pass_on(progress, message, now_ms)
            case messages.AnswerEnd():
                progress.assembler.end(message)
                progress.end = message
        self._finish_if_ended(progress, now_ms)

    def _begin_answer(
        self, progress: Progress, message: messages.AnswerStarted
    ) -> None:
        if progress.started:
            return
        progress.started = True
        self._put(
            progress,
            requests.Started(
                progress.endpoint,
                progress.owner,
                message.status,
                message.content_type,
            ),
        )

    def _pass_on(
        self,
        progress: Progress,
        message: messages.AnswerChunk,
        now_ms: int,
    ) -> None:
        if progress.assembler.next_number == message.number == 0:
            counters.observe_first_chunk(
                progress.request.work_class, now_ms - progress.arrived_ms
            )
        for data in progress.assembler.accept(message):
            self._put(progress, requests.Chunk(data))

    def _put(self, progress: Progress, event: Any) -> None:
        progress.exchange.output.post(event)

    def _finish_if_ended(self, progress: Progress, now_ms: int) -> None:
        end = progress.end
        if end is None:
            return
        if end.failure is None:
            if progress.assembler.is_whole:
                self._close(progress, end.outcome, None)
            return
        self._handle_failure(progress, end.outcome, end.failure, now_ms)

    def _handle_failure(
        self,
        progress: Progress,
        outcome: outcomes.Outcome,
        failure: failures.Failure,
        now_ms: int,
    ) -> None:
        request = progress.request
        progress.failure = failure
        refused = outcome is outcomes.Outcome.REFUSED
        retried = retry_policy.may_retry(
            failure,
            progress.attempts,
            request.repeatable or refused,
            progress.assembler.next_number,
            self._budget,
        )
        if not retried:
            self._close(progress, outcome, failure)
            return
        self._budget = self._budget.debit()
        progress.excluded.add(progress.endpoint)
        progress.end = None
        progress.retry_ms = now_ms
        self._note(progress)

    def _advance(self, progress: Progress, now_ms: int) -> None:
        request = progress.request
        if now_ms >= request.deadline_ms:
            self._expire(progress)
            return
        if progress.retry_ms is None:
            self._check_owner(progress, now_ms)
        elif now_ms >= progress.retry_ms:
            self._route(progress, now_ms)

    def _expire(self, progress: Progress) -> None:
        failure = progress.failure or failures.Failure(
            failures.Reason.QUEUE_TIMEOUT, "the deadline of the request passed"
        )
        if progress.retry_ms is not None and not progress.voiding:
            self._close(progress, outcomes.Outcome.REFUSED, failure)
            return
        self.ports.peers.send(
            progress.owner, messages.CancelWork(progress.assembler.attempt)
        )
        self._close(progress, outcomes.Outcome.UNKNOWN, failure)

    def _route(self, progress: Progress, now_ms: int) -> None:
        chosen = self._choose(progress, now_ms)
        if isinstance(chosen, failures.Failure):
            progress.failure = chosen
            progress.retry_ms = now_ms + ROUTE_RETRY_MS
            return
        self._submit(progress, chosen, now_ms)

    def _choose(
        self, progress: Progress, now_ms: int
    ) -> candidates.Candidate | failures.Failure:
        request = progress.request

        def note(found: list[candidates.Candidate]) -> None:
            progress.considered = candidates.sample_candidates(found)

        inventory = self.board.configuration.value.configuration.inventory
        suspects = self.board.suspects.value
        suspect = suspects.is_suspect(request.fingerprint)
        return choice.choose_endpoint(
            {
                name: inventory.endpoints[name]
                for name in request.endpoints
                if name in inventory.endpoints
            },
            choice.collect_reports(
                self.board.ownership.value,
                self.board.membership.value,
                summaries.make_heartbeat(self.board).endpoints,
                self.board.vm,
                self.board.incarnation,
                now_ms,
            ),
            request.adapter,
            self._count_in_flight(),
            self.board.membership.value.listed_leaving,
            self.board.settings.vm.availability_zone,
            progress.excluded,
            request.fingerprint if suspect else None,
            note=note,
        )

    def _count_in_flight(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for progress in self._open.values():
            if progress.retry_ms is None:
                counts[progress.endpoint] = (
                    counts.get(progress.endpoint, 0) + 1
                )
        return counts

    def _submit(
        self,
        progress: Progress,
        chosen: candidates.Candidate,
        now_ms: int,
    ) -> None:
        request = progress.request
        attempt = uuid.uuid4().hex
        suspects = self.board.suspects.value
        work = messages.SubmitWork(
            attempt=attempt,
            request=request.request,
            endpoint=chosen.endpoint,
            member=request.member,
            adapter=request.adapter,
            work_class=request.work_class,
            method=request.method,
            path=request.path,
            body=request.body,
            timeout_ms=request.deadline_ms - now_ms,
            cost=request.cost,
            stream=request.stream,
            content_type=request.content_type,
            fingerprint=request.fingerprint,
            key=None if request.key is None else request.key.digest,
            issued_ms=0 if request.key is None else request.key.issued_ms,
            isolated=suspects.is_suspect(request.fingerprint),
        )
        if not self.ports.peers.send(chosen.owner, work):
            progress.failure = failures.Failure(
                failures.Reason.PEER_UNREACHABLE, chosen.owner
            )
            progress.retry_ms = now_ms + ROUTE_RETRY_MS
            return
        self._attempts.pop(progress.assembler.attempt, None)
        progress.assembler.restart(attempt)
        self._attempts[attempt] = progress
        progress.endpoint = chosen.endpoint
        progress.owner = chosen.owner
        progress.attempts += 1
        progress.retry_ms = None
        self._note(progress)

    def _check_owner(self, progress: Progress, now_ms: int) -> None:
        """Act on the loss of the VM that works on an attempt."""
        if progress.voiding:
            self._check_void(progress)
            return
        if progress.owner == self.board.vm:
            return
        if progress.owner in self.ports.peers.list_sessions():
            return
        failure = failures.Failure(
            failures.Reason.PEER_UNREACHABLE, progress.owner
        )
        if progress.request.key is not None:
            self._void(progress, failure)
            return
        self._handle_failure(
            progress, outcomes.Outcome.FAILED, failure, now_ms
        )

    def _void(self, progress: Progress, failure: failures.Failure) -> None:
        """Try to make sure that the key never runs."""
        key = progress.request.key
        if key is None:
            return
        progress.voiding = True
        progress.failure = failure
        void = key_records.KeyVoid(
            key=key.digest,
            incarnation=self.board.incarnation,
            attempt=progress.assembler.attempt,
            issued_ms=key.issued_ms,
        )
        self.board.mailboxes["keys"].post(key_requests.AppendKey(void))

    def _check_void(self, progress: Progress) -> None:
        key = progress.request.key
        if key is None:
            return
        entry = self.board.keys.value.entries.get(key.digest)
        verdict = decisions.judge_claim(entry, progress.assembler.attempt)
        if verdict is decisions.ClaimVerdict.PENDING:
            return
        if verdict is decisions.ClaimVerdict.WON:
            self._check_claimant(progress)
            return
        if verdict is decisions.ClaimVerdict.ENDED and entry is not None:
            self._answer_result(progress, entry.result)
            return
        outcome, failure = decisions.describe_verdict(verdict)
        self._close(progress, outcome, failure)

    def _check_claimant(self, progress: Progress) -> None:
        """Give up waiting for the result of a claimant that is gone."""
        if progress.owner not in self.board.membership.value.vms:
            self._close(
                progress,
                outcomes.Outcome.UNKNOWN,
                failures.Failure(
                    failures.Reason.OUTCOME_UNKNOWN,
                    f"{progress.owner} claimed the key and is gone",
                ),
            )

    def _answer_result(
        self, progress: Progress, result: key_records.KeyResult | None
    ) -> None:
        if result is None or result.answer is None or progress.started:
            outcome, failure = decisions.describe_verdict(
                decisions.ClaimVerdict.ENDED
            )
            self._close(progress, outcome, failure)
            return
        self._put(
            progress,
            requests.Started(
                progress.endpoint,
                progress.owner,
                result.status,
                result.content_type,
            ),
        )
        self._put(progress, requests.Chunk(result.answer))
        self._close(progress, outcomes.Outcome(result.outcome), None)

    def _close(
        self,
        progress: Progress,
        outcome: outcomes.Outcome,
        failure: failures.Failure | None,
    ) -> None:
        self._put(progress, requests.Ended(outcome, failure))
        self._attempts.pop(progress.assembler.attempt, None)
        del self._open[progress.request.request]
        progress.failure = failure
        counters.count_request(outcome, failure)
        table = self.board.requests.value
        entry = attrs.evolve(self._describe(progress), outcome=outcome)
        still_open = {
            name: other
            for name, other in table.open.items()
            if name != entry.request
        }
        recent = (*table.recent, entry)[-requests.RECENT_REQUESTS :]
        self.write(
            self.board.requests,
            attrs.evolve(table, open=still_open, recent=recent),
        )
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
        refusals = (*table.refusals, refusal)[-requests.RECENT_REQUESTS :]
        self.write(self.board.requests, attrs.evolve(table, refusals=refusals))

    def _note(self, progress: Progress) -> None:
        table = self.board.requests.value
        entry = self._describe(progress)
        self.write(
            self.board.requests,
            attrs.evolve(table, open={**table.open, entry.request: entry}),
        )

    def _describe(self, progress: Progress) -> requests.RequestEntry:
        request = progress.request
        return requests.RequestEntry(
            request=request.request,
            member=request.member,
            adapter=request.adapter,
            work_class=request.work_class,
            attempt=progress.assembler.attempt,
            endpoint=progress.endpoint,
            owner=progress.owner,
            attempts=progress.attempts,
            failure=progress.failure,
            considered=progress.considered,
        )
