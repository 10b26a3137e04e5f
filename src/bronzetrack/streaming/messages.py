"""Peer messages that carry work to an owner and return its answer."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import failures
from bronzetrack.core import messages
from bronzetrack.streaming import outcomes


@messages.MESSAGES.register("submit_work")
@attrs.frozen
class SubmitWork:
    """One attempt of a request, sent to the owner of an endpoint.

    :param attempt: id of the attempt, which is also sent to the endpoint
    :param request: id of the request
    :param member: the member that is charged for the request
    :param adapter: `name@version`, empty for a plain service
    :param path: path at the endpoint
    :param timeout_ms: time in milliseconds until the caller's deadline
    :param cost: estimated cost in tokens
    :param fingerprint: digest of the adapter, version and body
    :param key: digest of the idempotency key, None if the work may run more
        than once
    :param digest: digest of the request as its caller sent it, to detect a
        reused key
    :param issued_ms: Unix time in milliseconds at which the key was issued
    :param isolated: whether the work must run alone on the endpoint
    :param crashes: crashes that the request may have caused
    :param resume_of: attempt to resume at the endpoint, None to start a new
        run
    :param resume_from: number of the first chunk to send
    """

    mailbox: ClassVar[str] = "work"

    attempt: str
    request: str
    endpoint: str
    member: str
    adapter: str
    work_class: str
    method: str
    path: str
    body: bytes
    timeout_ms: int
    cost: int = 1
    stream: bool = False
    content_type: str = "application/json"
    fingerprint: str = ""
    key: str | None = None
    digest: str = ""
    issued_ms: int = 0
    isolated: bool = False
    crashes: tuple[str, ...] = ()
    resume_of: str | None = None
    resume_from: int = 0


@messages.MESSAGES.register("answer_started")
@attrs.frozen
class AnswerStarted:
    """The endpoint started to answer.

    :param status: HTTP status of the answer
    """

    mailbox: ClassVar[str] = "answers"

    attempt: str
    status: int
    content_type: str


@messages.MESSAGES.register("answer_chunk")
@attrs.frozen
class AnswerChunk:
    """One chunk of an answer.

    :param number: number of the chunk in its attempt, from 0
    :param last: whether the chunk holds the end marker of the endpoint
    """

    mailbox: ClassVar[str] = "answers"

    attempt: str
    number: int
    data: bytes
    last: bool = False


@messages.MESSAGES.register("answer_end")
@attrs.frozen
class AnswerEnd:
    """The end of an attempt.

    :param chunks: number of chunks of the whole answer
    :param failure: why the attempt failed, None if it completed
    """

    mailbox: ClassVar[str] = "answers"

    attempt: str
    outcome: outcomes.Outcome
    chunks: int = 0
    failure: failures.Failure | None = None


@messages.MESSAGES.register("cancel_work")
@attrs.frozen
class CancelWork:
    """Cancels an attempt whose answer is no longer needed."""

    mailbox: ClassVar[str] = "work"

    attempt: str


@messages.MESSAGES.register("probe_work")
@attrs.frozen
class ProbeWork:
    """Asks an owner for the state of attempts without recent messages.

    The messages may have been lost, which happens when a session breaks or
    its queue is full.
    """

    mailbox: ClassVar[str] = "answers"

    attempts: tuple[str, ...]


@messages.MESSAGES.register("work_unknown")
@attrs.frozen
class WorkUnknown:
    """The attempts of a probe that are neither queued nor running.

    The message follows the ends of these attempts on the same stream. If the
    receiver has not got the end of such an attempt, that end was lost.
    """

    mailbox: ClassVar[str] = "answers"

    attempts: tuple[str, ...]
