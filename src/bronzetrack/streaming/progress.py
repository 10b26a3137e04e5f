"""State of a request in progress at its entry VM."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import failures
from bronzetrack.routing import candidates
from bronzetrack.streaming import assembler
from bronzetrack.streaming import calls
from bronzetrack.streaming import messages


class Stage(enum.Enum):
    """Stage of a request in progress.

    In ROUTING, the request waits for an endpoint. In RUNNING, it waits for an
    attempt that was submitted. In SETTLING, it waits for the log records of
    its idempotency key.
    """

    ROUTING = "routing"
    RUNNING = "running"
    SETTLING = "settling"


@attrs.define
class Progress:
    """A request in progress at the VM that its caller uses, the entry VM.

    Times are monotonic and in milliseconds.

    :param arrived_ms: time of arrival
    :param due_ms: time at which to route the request again
    :param owner: the VM that the present attempt was submitted to
    :param owner_incarnation: incarnation of the owner that has the attempt
    :param engine_attempt: the attempt under which the endpoint runs the
        request, which differs from the present attempt if that one resumes a
        stream
    :param attempts: number of attempts that started from the first chunk
    :param resumes: number of times that the answer was resumed
    :param excluded: endpoints on which an attempt failed
    :param considered: candidate endpoints of the latest choice
    :param failure: the latest failure, if any
    :param may_have_run: whether an endpoint may have received an earlier
        attempt
    :param isolated: whether the request has to run alone because an endpoint
        crashed while it ran
    :param head: start of the answer of the present attempt
    :param begun: whether the start of an answer was passed to the caller
    :param parts: chunks of an answer that the caller gets in one piece
    :param heard_ms: time of the latest message about the attempt
    :param gap_ms: time since which a chunk is missing, None if none is
    :param settling_ms: time at which the request entered SETTLING
    :param settle_until_ms: time at which the wait in SETTLING expires
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
        """The present attempt, empty before the first attempt."""
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
        """Number of chunks passed to the caller, 0 without streaming."""
        return self.assembler.next_number if self.request.stream else 0

    def start_attempt(self, attempt: str, now_ms: int) -> None:
        """Start an attempt that runs the request from the first chunk on."""
        self.assembler.restart(attempt)
        self.parts.clear()
        self.engine_attempt = attempt
        self.attempts += 1
        self._enter_running(now_ms)

    def resume_attempt(self, attempt: str, now_ms: int) -> None:
        """Start an attempt that resumes the answer after the passed chunks."""
        self.assembler.resume(attempt)
        self.resumes += 1
        self._enter_running(now_ms)

    def _enter_running(self, now_ms: int) -> None:
        self.head = None
        self.gap_ms = None
        self.heard_ms = now_ms
        self.stage = Stage.RUNNING
