"""Tests of the relay of one answer to another VM."""

from __future__ import annotations

from controllers import edges
import pytest

from bronzetrack.core import failures
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.wire import frames


def test_chunk_beyond_a_frame_ends_the_answer(run_work):
    """Guards against an answer that waits for a queue that cannot help."""
    chunks = [b"0", b"x" * frames.FRAME_BYTES, b"2"]
    peers, endpoints = run_work(edges.Answer(chunks))
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.FAILED
    assert end.failure.reason is failures.Reason.FRAME_TOO_LARGE
    assert endpoints.cancelled == ["a1"]


@pytest.mark.parametrize("detail", ["x" * frames.FRAME_BYTES, "\ud800"])
def test_end_that_no_frame_holds_keeps_its_reason(run_work, detail):
    """Guards against an end that is lost because of its text."""
    failure = failures.Failure(failures.Reason.WRONG_ADAPTER, detail)
    peers, _ = run_work(edges.Answer([b"0"], failure=failure))
    [end] = peers.take(messages.AnswerEnd)
    assert end.failure.reason is failures.Reason.WRONG_ADAPTER


def test_full_queue_delays_chunks_and_keeps_their_order(run_work):
    """Guards against chunks dropped while the queue of a peer is full."""
    chunks = [b"%d" % number for number in range(5)]
    peers, _ = run_work(edges.Answer(chunks), refusals=3)
    sent = peers.take(messages.AnswerChunk)
    assert [chunk.data for chunk in sent] == chunks
    assert [chunk.number for chunk in sent] == list(range(5))
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.COMPLETED


SILENT = failures.Failure(failures.Reason.ENDPOINT_SILENT)


def test_silence_is_resumed_where_the_stream_stopped(run_work):
    """Guards against chunks sent twice, or left out, after a silence."""
    peers, endpoints = run_work(
        edges.Answer([b"0", b"1"], failure=SILENT), edges.Answer([b"2"])
    )
    sent = peers.take(messages.AnswerChunk)
    assert [(item.number, item.data) for item in sent] == [
        (0, b"0"),
        (1, b"1"),
        (2, b"2"),
    ]
    resumed = endpoints.opened[1]
    assert (resumed.resume_of, resumed.resume_from) == ("a1", 2)


def test_resume_that_brings_nothing_ends_the_answer(run_work):
    """Guards against a stream that is resumed for ever."""
    peers, endpoints = run_work(
        edges.Answer([b"0"], failure=SILENT), edges.Answer([], failure=SILENT)
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.failure.reason is failures.Reason.ENDPOINT_SILENT
    assert len(endpoints.opened) == 2
    assert endpoints.cancelled == ["a1"]


def test_lost_work_met_by_a_resume_is_not_called_not_run(run_work):
    """Guards against "refused" for work whose first part was answered."""
    refusal = failures.Failure(failures.Reason.LOAD_FAILED)
    peers, _ = run_work(
        edges.Answer([b"0"], failure=SILENT), edges.Answer([], refusal=refusal)
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.FAILED


def test_pause_of_the_vm_is_not_a_silence_of_the_endpoint(run_work):
    """Guards against streams given up because their reader stood still."""
    peers, endpoints = run_work(
        edges.Answer([], failure=SILENT), edges.Answer([b"0"]), step_ms=6_000
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.outcome is outcomes.Outcome.COMPLETED
    assert endpoints.opened[1].resume_from == 0


def test_pauses_do_not_resume_a_stream_for_ever(run_work):
    """Guards against a silent endpoint that a slow VM never gives up."""
    peers, endpoints = run_work(
        edges.Answer([], failure=SILENT), step_ms=6_000
    )
    [end] = peers.take(messages.AnswerEnd)
    assert end.failure.reason is failures.Reason.ENDPOINT_SILENT
    assert len(endpoints.opened) == 4
