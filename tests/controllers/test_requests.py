"""Tests of requests in progress whose messages are lost."""

from __future__ import annotations

from bronzetrack.core import failures
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
