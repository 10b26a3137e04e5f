"""Simplified models of a batching engine and of the weight store."""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs

# Each running request gets a token every base + per-request part * batch size.
TOKEN_BASE_MS = 12.0
TOKEN_PER_REQUEST_MS = 0.8
LOAD_MS = 250.0


@attrs.define
class Timeline:
    """Event queue with a simulated clock."""

    now_ms: float = 0.0
    _due: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def call_at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action, at the current time at the earliest."""
        heapq.heappush(
            self._due, (max(at_ms, self.now_ms), next(self._numbers), action)
        )

    def run(self, until_ms: float) -> None:
        """Run the actions that are due until a time, in order of time."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._due)
            action()


@attrs.define
class Job:
    """A running request.

    :param first_at: engine progress, in tokens, at which it gets its first
        token
    :param end_at: engine progress, in tokens, at which it ends
    """

    first_at: float
    end_at: float
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    first_done: bool = False

    @property
    def next_at(self) -> float:
        return self.end_at if self.first_done else self.first_at


@attrs.define
class Engine:
    """An engine whose token rate falls as its batch grows.

    :param slowdown: factor on the time per token
    :param progress: token steps so far, each of which advances every running
        request by one token
    :param busy_ms: time with a running request
    :param tokens: tokens generated so far for all requests
    """

    timeline: Timeline
    slowdown: float = 1.0
    jobs: dict[str, Job] = attrs.field(factory=dict)
    progress: float = 0.0
    updated_ms: float = 0.0
    busy_ms: float = 0.0
    tokens: float = 0.0
    _timer_number: int = 0

    @property
    def token_ms(self) -> float:
        return (
            TOKEN_BASE_MS + TOKEN_PER_REQUEST_MS * len(self.jobs)
        ) * self.slowdown

    def start(
        self,
        name: str,
        prompt: float,
        output: float,
        on_first: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        """Add a request to the batch."""
        self.advance()
        first_at = self.progress + prompt + 1
        end_at = self.progress + prompt + output
        self.jobs[name] = Job(first_at, end_at, on_first, on_end)
        self._schedule()

    def cancel(self, name: str) -> None:
        """Remove a request from the batch."""
        self.advance()
        self.jobs.pop(name, None)
        self._schedule()

    def set_slowdown(self, factor: float) -> None:
        """Change the factor on the time per token from now on."""
        self.advance()
        self.slowdown = factor
        self._schedule()

    def advance(self) -> None:
        """Update the progress and the totals to the current time."""
        elapsed_ms = self.timeline.now_ms - self.updated_ms
        self.updated_ms = self.timeline.now_ms
        if self.jobs:
            generated = elapsed_ms / self.token_ms
            self.progress += generated
            self.tokens += generated * len(self.jobs)
            self.busy_ms += elapsed_ms

    def _schedule(self) -> None:
        self._timer_number += 1
        if not self.jobs:
            return
        timer_number = self._timer_number
        left = min(job.next_at for job in self.jobs.values()) - self.progress
        self.timeline.call_at(
            self.timeline.now_ms + max(0.0, left) * self.token_ms,
            lambda: self._handle_due(timer_number),
        )

    def _handle_due(self, timer_number: int) -> None:
        if timer_number != self._timer_number:
            return
        self.advance()
        reached = self.progress + 1e-6
        due = [
            (name, job)
            for name, job in self.jobs.items()
            if job.next_at <= reached
        ]
        actions = []
        for name, job in due:
            if job.first_done:
                del self.jobs[name]
                actions.append(job.on_end)
            else:
                job.first_done = True
                actions.append(job.on_first)
        self._schedule()
        for action in actions:
            action()


@attrs.define
class Store:
    """A weight store with a rate, a burst and a limit on loads in flight.

    :param limit: loads in flight above which each load takes longer
    :param max_in_flight: highest number of loads in flight so far
    :param loads: loads started so far
    """

    timeline: Timeline
    rate_per_s: float
    burst: int
    limit: int
    in_flight: int = 0
    max_in_flight: int = 0
    loads: int = 0
    _starts: collections.deque[float] = attrs.field(factory=collections.deque)

    def load(self, on_end: Callable[[], None]) -> None:
        """Start a load, delayed as far as the rate and the burst require."""
        self.in_flight += 1
        self.loads += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        now_ms = self.timeline.now_ms
        start_ms = now_ms
        if len(self._starts) == self.burst:
            earliest = self._starts[0] + self.burst * 1000 / self.rate_per_s
            start_ms = max(now_ms, earliest)
            self._starts.popleft()
        self._starts.append(start_ms)
        slowdown = max(1.0, self.in_flight / self.limit)
        self.timeline.call_at(
            start_ms + LOAD_MS * slowdown, lambda: self._finish(on_end)
        )

    def _finish(self, on_end: Callable[[], None]) -> None:
        self.in_flight -= 1
        on_end()
