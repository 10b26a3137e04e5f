"""Tests of requests in progress whose messages are lost or too large."""

from __future__ import annotations

from bronzetrack.core import failures
from bronzetrack.dispatch import state as states
from bronzetrack.streaming import losses
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.wire import frames


def test_work_larger_than_a_frame_is_refused(run_entry, make_request):
    """Guards against retries until the deadline, or a broken peer session.

    Work that is larger than a frame can never be sent to the owner.
    """

    async def check(entry) -> None:
        large = make_request(body=b"x" * frames.FRAME_BYTES)
        [end] = await entry.submit(large).take()
        assert end.outcome is outcomes.Outcome.REFUSED
        assert end.failure.reason is failures.Reason.FRAME_TOO_LARGE
        entry.submit(make_request(request="r2"))
        work = await entry.wait_sent(messages.SubmitWork)
        assert work.request == "r2"

    run_entry(check)


def test_missing_chunk_is_recovered_by_a_resume(run_entry, make_request):
    """Guards against an answer that waits forever for a lost chunk."""

    async def check(entry) -> None:
        output = entry.submit(make_request())
        work = await entry.wait_sent(messages.SubmitWork)
        entry.receive(
            messages.AnswerStarted(work.attempt, 200, "text/event-stream"),
            messages.AnswerChunk(work.attempt, 0, b"0"),
            messages.AnswerChunk(work.attempt, 2, b"2", last=True),
        )
        started, chunk = await output.take()
        assert (started.vm, chunk.data) == ("vm-2", b"0")
        entry.now_ms += losses.GAP_WAIT_MS
        resume = await entry.wait_sent(messages.SubmitWork)
        assert (resume.resume_of, resume.resume_from) == (work.attempt, 1)
        entry.receive(
            messages.AnswerStarted(resume.attempt, 200, "text/event-stream"),
            messages.AnswerChunk(work.attempt, 1, b"late"),
            messages.AnswerChunk(resume.attempt, 1, b"1"),
            messages.AnswerChunk(resume.attempt, 2, b"2", last=True),
            sender="vm-1",
        )
        *chunks, ended = await output.take()
        assert [item.data for item in chunks] == [b"1", b"2"]
        assert ended.outcome is outcomes.Outcome.COMPLETED

    run_entry(check)


def test_lost_answer_end_is_detected_by_a_probe(run_entry, make_request):
    """Guards against a request that waits forever for a lost answer end."""

    async def check(entry) -> None:
        output = entry.submit(make_request(stream=False))
        work = await entry.wait_sent(messages.SubmitWork)
        entry.now_ms += losses.PROBE_INTERVAL_MS
        probe = await entry.wait_sent(messages.ProbeWork)
        assert probe.attempts == (work.attempt,)
        # Only the owner may report the attempt as unknown; vm-3 is ignored.
        entry.receive(messages.WorkUnknown(probe.attempts), sender="vm-3")
        entry.now_ms += losses.PROBE_INTERVAL_MS
        probe = await entry.wait_sent(messages.ProbeWork)
        assert probe.attempts == (work.attempt,)
        entry.receive(messages.WorkUnknown(probe.attempts))
        again = await entry.wait_sent(messages.SubmitWork)
        assert again.attempt != work.attempt
        entry.receive(
            messages.AnswerStarted(again.attempt, 200, "application/json"),
            messages.AnswerChunk(work.attempt, 0, b"late"),
            messages.AnswerChunk(again.attempt, 0, b"{}"),
            messages.AnswerEnd(again.attempt, outcomes.Outcome.COMPLETED, 1),
        )
        _, chunk, ended = await output.take()
        assert chunk.data == b"{}"
        assert ended.outcome is outcomes.Outcome.COMPLETED

    run_entry(check)


def test_probe_reply_lists_only_unknown_attempts(run_entry):
    """Guards against giving up work that is still queued or running."""

    async def check(entry) -> None:
        work = messages.SubmitWork(
            *("waits", "r", "e", "trust", "a@1", "normal", "POST", "/", b"", 1)
        )
        queue = states.EndpointQueue(
            waiting=(states.Waiting(work, "vm-2", 0),),
            running={"runs": states.Running(work, "vm-2", 0)},
        )
        state = states.DispatchState(endpoints={"e": queue})
        entry.board.dispatch.write("dispatch", state)
        entry.receive(messages.ProbeWork(("waits", "runs")))
        entry.receive(messages.ProbeWork(("waits", "gone", "runs")))
        unknown = await entry.wait_sent(messages.WorkUnknown)
        assert unknown.attempts == ("gone",)

    run_entry(check)
