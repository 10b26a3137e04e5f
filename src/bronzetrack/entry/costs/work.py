"""Work that the own requests in progress still mean for their endpoints."""

from __future__ import annotations

from typing import Protocol

import attrs

# An answer that is longer than expected goes on for a while, so that a request
# in progress counts at least this share of its work.
MIN_LEFT_SHARE = 0.1


class AnswerProgress(Protocol):
    """How far the answer to a request has come.

    :ivar first_data_at: time of the first data, `None` before it
    :ivar event_count: number of events that have arrived
    """

    first_data_at: float | None
    event_count: int


@attrs.frozen(eq=False)
class Task:
    """A request of this VM that is in progress at an endpoint.

    :param read_ms: work until the first event, in ms of the endpoint
    :param write_ms: work after it, in ms of the endpoint
    :param events: expected number of events, 0 if the answer is no stream
    :param duration_ms: expected time of an answer that is no stream
    """

    read_ms: float
    write_ms: float
    events: float
    duration_ms: float
    sent_at: float
    answer: AnswerProgress

    def measure_left(self, now: float) -> float:
        """Return the work that is left, in ms of the endpoint."""
        if self.events:
            if self.answer.first_data_at is None:
                return self.read_ms + self.write_ms
            done = self.answer.event_count / self.events
        else:
            elapsed_ms = 1000 * max(0.0, now - self.sent_at)
            done = elapsed_ms / max(1.0, self.duration_ms)
        return self.write_ms * max(MIN_LEFT_SHARE, 1 - done)


@attrs.define(eq=False)
class Ledger:
    """The requests of this VM in progress, by id of the endpoint."""

    by_identity: dict[str, list[Task]] = attrs.field(factory=dict)

    def start(self, identity: str, task: Task) -> None:
        """Add a request that was sent."""
        self.by_identity.setdefault(identity, []).append(task)

    def end(self, identity: str, task: Task) -> None:
        """Remove a request that has ended."""
        tasks = self.by_identity[identity]
        tasks.remove(task)
        if not tasks:
            del self.by_identity[identity]

    def count(self, identity: str) -> int:
        """Return the number of requests in progress at an endpoint."""
        return len(self.by_identity.get(identity, ()))

    def measure_left(self, identity: str, now: float) -> float:
        """Return the work left at an endpoint, in ms of the endpoint."""
        return sum(
            task.measure_left(now)
            for task in self.by_identity.get(identity, ())
        )

    def measure_all(self, now: float) -> dict[str, float]:
        """Return the work left by id of the endpoint, in ms of each."""
        return {
            identity: self.measure_left(identity, now)
            for identity in self.by_identity
        }
