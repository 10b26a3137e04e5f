"""Where a request of a caller stands."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import failures
from bronzetrack.routing import candidates
from bronzetrack.streaming import assembler
from bronzetrack.streaming import calls
from bronzetrack.streaming import messages


class Stage(enum.Enum):
    """What a request waits for.

    ROUTING waits for an endpoint, RUNNING for an attempt that was submitted,
    SETTLING for what the log says about the key.
    """

    ROUTING = "routing"
    RUNNING = "running"
    SETTLING = "settling"


@attrs.define
class Progress:
    """A request in progress at the VM that its caller uses.

    :param arrived_ms: monotonic time of arrival
    :param due_ms: monotonic time at which to route again
    :param owner_incarnation: the run of the owner that has the attempt
    :param engine_attempt: the attempt that the endpoint knows, which differs
        from the present one when that one resumes a stream
    :param excluded: endpoints on which an attempt failed
    :param considered: endpoints that the latest choice was made from
    :param may_have_run: whether an endpoint may have got an earlier attempt
    :param isolated: whether it runs alone because an endpoint crashed with it
    :param head: start of the answer of the present attempt
    :param begun: whether the caller got the start of an answer
    :param parts: an answer that the caller gets in one piece
    :param heard_ms: monotonic time of the last message about the attempt
    :param gap_ms: monotonic time since when a chunk is missing
    :param settling_ms: monotonic time since when the log decides
    :param settle_until_ms: monotonic time until which the log may decide
    """

    request: calls.CallerRequest
    assembler: assembler.Assembler = attrs.field(
        factory=lambda: assembler.Assembler("")
    )
    arrived_ms: int = 0
    stage: Stage = Stage.ROUTING
    due_ms: int = 0
    endpoint: str = ""
    owner: str = ""
    owner_incarnation: str = ""
    engine_attempt: str = ""
    attempts: int = 0
    resumes: int = 0
    excluded: set[str] = attrs.field(factory=set)
    considered: tuple[candidates.Candidate, ...] = ()
    failure: failures.Failure | None = None
    may_have_run: bool = False
    isolated: bool = False
    head: messages.AnswerStarted | None = None
    begun: bool = False
    parts: list[bytes] = attrs.field(factory=list)
    heard_ms: int = 0
    gap_ms: int | None = None
    settling_ms: int = 0
    settle_until_ms: int = 0

    @property
    def attempt(self) -> str:
        """The present attempt, empty before the first."""
        return self.assembler.attempt

    @property
    def is_resumed(self) -> bool:
        """Whether the present attempt resumes a stream."""
        return self.attempt != self.engine_attempt

    @property
    def adapter(self) -> str:
        """The adapter version that the request runs on."""
        return self.request.adapter

    @property
    def chunks_passed(self) -> int:
        """Chunks that the caller got; none of an answer in one piece."""
        return self.assembler.next_number if self.request.stream else 0

    def start_attempt(self, attempt: str, now_ms: int) -> None:
        """Begin an attempt from the first chunk on."""
        self.assembler.restart(attempt)
        self.parts.clear()
        self.engine_attempt = attempt
        self.attempts += 1
        self._submit(now_ms)

    def resume_attempt(self, attempt: str, now_ms: int) -> None:
        """Begin an attempt that goes on at the caller's position."""
        self.assembler.resume(attempt)
        self.resumes += 1
        self._submit(now_ms)

    def _submit(self, now_ms: int) -> None:
        self.head = None
        self.gap_ms = None
        self.heard_ms = now_ms
        self.stage = Stage.RUNNING
