"""Small models of a batching engine and of the weight store."""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs

# Time for one token of each running request is base + part * batch size.
TOKEN_BASE_MS = 12.0
TOKEN_PART_MS = 0.8
LOAD_MS = 250.0


@attrs.define
class Timeline:
    """Simulated time."""

    now_ms: float = 0.0
    _due: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def call_at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(
            self._due, (max(at_ms, self.now_ms), next(self._numbers), action)
        )

    def run(self, until_ms: float) -> None:
        """Run the actions in order of time."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._due)
            action()


@attrs.define
class Job:
    """A running request; positions are in tokens of engine progress."""

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
    """An engine whose token speed falls as its batch grows.

    :param slow: factor on the time of each token
    """

    timeline: Timeline
    slow: float = 1.0
    jobs: dict[str, Job] = attrs.field(factory=dict)
    progress: float = 0.0
    updated_ms: float = 0.0
    busy_ms: float = 0.0
    tokens: float = 0.0
    _wake: int = 0

    @property
    def token_ms(self) -> float:
        return (TOKEN_BASE_MS + TOKEN_PART_MS * len(self.jobs)) * self.slow

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

    def set_slow(self, factor: float) -> None:
        """Change the speed from now on."""
        self.advance()
        self.slow = factor
        self._schedule()

    def advance(self) -> None:
        """Bring the progress up to now."""
        passed_ms = self.timeline.now_ms - self.updated_ms
        self.updated_ms = self.timeline.now_ms
        if self.jobs:
            made = passed_ms / self.token_ms
            self.progress += made
            self.tokens += made * len(self.jobs)
            self.busy_ms += passed_ms

    def _schedule(self) -> None:
        self._wake += 1
        if not self.jobs:
            return
        wake = self._wake
        left = min(job.next_at for job in self.jobs.values()) - self.progress
        self.timeline.call_at(
            self.timeline.now_ms + max(0.0, left) * self.token_ms,
            lambda: self._fire(wake),
        )

    def _fire(self, wake: int) -> None:
        if wake != self._wake:
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

    :param most: the most loads that were in flight at once
    """

    timeline: Timeline
    rate_per_s: float
    burst: int
    limit: int
    in_flight: int = 0
    most: int = 0
    loads: int = 0
    _starts: collections.deque[float] = attrs.field(factory=collections.deque)

    def load(self, on_end: Callable[[], None]) -> None:
        """Start a load; one over the rate waits for its turn."""
        self.in_flight += 1
        self.loads += 1
        self.most = max(self.most, self.in_flight)
        now_ms = self.timeline.now_ms
        start_ms = now_ms
        if len(self._starts) == self.burst:
            earliest = self._starts[0] + self.burst * 1000 / self.rate_per_s
            start_ms = max(now_ms, earliest)
            self._starts.popleft()
        self._starts.append(start_ms)
        slower = max(1.0, self.in_flight / self.limit)
        self.timeline.call_at(
            start_ms + LOAD_MS * slower, lambda: self._finish(on_end)
        )

    def _finish(self, on_end: Callable[[], None]) -> None:
        self.in_flight -= 1
        on_end()
