"""Tests of requests in progress whose messages are lost."""

from __future__ import annotations

from bronzetrack.core import failures
from bronzetrack.dispatch import state as states
from bronzetrack.streaming import losses
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes
from bronzetrack.wire import frames


def test_work_beyond_a_frame_is_refused(run_entry, make_request):
    """Guards against a request tried until its deadline, or a lost peer."""

    async def check(entry) -> None:
        large = make_request(body=b"x" * frames.FRAME_BYTES)
        [end] = await entry.submit(large).take()
        assert end.outcome is outcomes.Outcome.REFUSED
        assert end.failure.reason is failures.Reason.FRAME_TOO_LARGE
        entry.submit(make_request(request="r2"))
        work = await entry.wait_sent(messages.SubmitWork)
        assert work.request == "r2"

    run_entry(check)


def test_gap_in_the_chunks_is_closed_by_a_resume(run_entry, make_request):
    """Guards against an answer that waits for a chunk that was lost."""

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


def test_lost_end_is_found_by_a_probe(run_entry, make_request):
    """Guards against a request that waits for an end that was lost."""

    async def check(entry) -> None:
        output = entry.submit(make_request(stream=False))
        work = await entry.wait_sent(messages.SubmitWork)
        entry.now_ms += losses.PROBE_INTERVAL_MS
        probe = await entry.wait_sent(messages.ProbeWork)
        assert probe.attempts == (work.attempt,)
        # Another VM knows nothing of the attempt, and may say so.
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


def test_probe_names_only_the_work_that_is_unknown(run_entry):
    """Guards against work given up that still waits or runs."""

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
