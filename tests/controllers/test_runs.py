"""Tests of the relay of one answer to another VM."""

from __future__ import annotations

from controllers import fakes
import pytest

from bronzetrack.core import failures
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.wire import frames


def test_chunk_larger_than_a_frame_fails_the_answer(run_work):
    """Guards against retries of a chunk that can never be sent.

    A chunk that is larger than a frame is not sent later either, when the
    queue of the peer has drained.
    """
    chunks = [b"0", b"x" * frames.FRAME_BYTES, b"2"]
    peers, endpoints = run_work(fakes.Answer(chunks))
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.FAILED
    assert end.failure.reason is failures.Reason.FRAME_TOO_LARGE
    assert endpoints.cancelled == ["a1"]


@pytest.mark.parametrize("detail", ["x" * frames.FRAME_BYTES, "\ud800"])
def test_unsendable_end_keeps_its_reason(run_work, detail):
    """Guards against an end that is lost because of its failure detail.

    The detail is too large for a frame, or cannot be encoded.
    """
    failure = failures.Failure(failures.Reason.WRONG_ADAPTER, detail)
    peers, _ = run_work(fakes.Answer([b"0"], failure=failure))
    [end] = peers.take(messages.AnswerEnd)
    assert end.failure.reason is failures.Reason.WRONG_ADAPTER


def test_full_queue_delays_chunks_and_keeps_their_order(run_work):
    """Guards against chunks dropped while the send queue is full."""
    chunks = [b"%d" % number for number in range(5)]
    peers, _ = run_work(fakes.Answer(chunks), refusals=3)
    sent = peers.take(messages.AnswerChunk)
    assert [chunk.data for chunk in sent] == chunks
    assert [chunk.number for chunk in sent] == list(range(5))
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.COMPLETED


SILENT = failures.Failure(failures.Reason.ENDPOINT_SILENT)


def test_answer_is_resumed_after_a_silence(run_work):
    """Guards against duplicate or missing chunks after a silence."""
    peers, endpoints = run_work(
        fakes.Answer([b"0", b"1"], failure=SILENT), fakes.Answer([b"2"])
    )
    sent = peers.take(messages.AnswerChunk)
    assert [(item.number, item.data) for item in sent] == [
        (0, b"0"),
        (1, b"1"),
        (2, b"2"),
    ]
    resumed = endpoints.opened[1]
    assert (resumed.resume_of, resumed.resume_from) == ("a1", 2)


def test_resume_without_chunks_fails_the_answer(run_work):
    """Guards against a silent stream that is resumed forever."""
    peers, endpoints = run_work(
        fakes.Answer([b"0"], failure=SILENT), fakes.Answer([], failure=SILENT)
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.failure.reason is failures.Reason.ENDPOINT_SILENT
    assert len(endpoints.opened) == 2
    assert endpoints.cancelled == ["a1"]


def test_failed_resume_does_not_refuse_the_work(run_work):
    """Guards against "refused" for work that has partly been answered."""
    replacement_failure = failures.Failure(failures.Reason.LOAD_FAILED)
    peers, _ = run_work(
        fakes.Answer([b"0"], failure=SILENT),
        fakes.Answer([], replacement_failure=replacement_failure),
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.FAILED


def test_pause_of_the_vm_does_not_fail_the_answer(run_work):
    """Guards against streams that fail because the VM itself was paused."""
    peers, endpoints = run_work(
        fakes.Answer([], failure=SILENT), fakes.Answer([b"0"]), step_ms=6_000
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.COMPLETED
    assert endpoints.opened[1].resume_from == 0


def test_resumes_after_pauses_are_limited(run_work):
    """Guards against endless resumes of a silent endpoint by a slow VM."""
    peers, endpoints = run_work(
        fakes.Answer([], failure=SILENT), step_ms=6_000
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.failure.reason is failures.Reason.ENDPOINT_SILENT
    assert len(endpoints.opened) == 4
