"""Learning of costs from the answers to the requests of this VM."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import TYPE_CHECKING

from bronzetrack.entry.costs import estimates
from bronzetrack.entry.costs import learning
from bronzetrack.entry.costs import meters
from bronzetrack.entry.costs import work
from bronzetrack.entry.forwarding import relays

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry.forwarding import progress as progresses
    from bronzetrack.entry.forwarding import requests


class CostRecorder:
    """Records requests and answers in the costs on the blackboard.

    Requests whose endpoint was not chosen by cost are left out.
    """

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self.board = board
        self.read_clock = read_clock

    @contextlib.contextmanager
    def track(
        self, progress: progresses.Progress, relay: relays.Relay
    ) -> Iterator[None]:
        """Count a request as work of its endpoint during this context."""
        choice = progress.choice
        if choice is None:
            yield
            return
        estimate = choice.estimate
        task = work.Task(
            estimate.read_ms,
            estimate.write_ms,
            estimate.events,
            estimate.duration_ms,
            self.read_clock(),
            relay,
        )
        ledger = self.board.costs.value.ledger
        ledger.start(choice.endpoint.identity, task)
        try:
            yield
        finally:
            ledger.end(choice.endpoint.identity, task)

    def record(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        relay: relays.Relay,
        outcome: relays.Outcome,
        sent_at: float,
    ) -> None:
        """Record how an endpoint answered."""
        choice = progress.choice
        if choice is None:
            return
        now = self.read_clock()
        state = self.board.costs.value
        if relays.is_full(outcome, relay.status):
            state.get_or_create(progress.service).record_full(
                choice.endpoint.identity, now
            )
        if relay.status != 200 or outcome not in (
            relays.Outcome.DELIVERED,
            relays.Outcome.ANSWERED,
        ):
            return
        answer = self._measure_answer(request, progress, relay, sent_at, now)
        meters.FIRST_EVENT_RATIO.observe(
            answer.first_ms / max(1.0, choice.estimate.first_ms)
        )
        learning.learn(state, progress.service, answer, now)

    def _measure_answer(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        relay: relays.Relay,
        sent_at: float,
        now: float,
    ) -> learning.Answer:
        choice = progress.choice
        service = self.board.rules.value.find_service(choice.endpoint.service)
        model_key = request.model_key
        first_at = relay.first_data_at or now
        is_stream = model_key is not None and relay.event_count > 0
        writing_s = (relay.last_data_at or first_at) - first_at
        return learning.Answer(
            choice=choice,
            route=request.route.name if request.route is not None else "",
            model_key=model_key,
            prompt_parts=request.prompt_parts,
            kv_tokens=service.kv_tokens if service is not None else 0,
            announced=estimates.count_announced(request),
            is_whole=request.last_event_id is None and progress.sends == 1,
            first_ms=1000 * ((first_at if is_stream else now) - sent_at),
            writing_ms=1000 * writing_s,
            events=relay.event_count if is_stream else 0,
        )
