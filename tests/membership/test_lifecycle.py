"""Tests of the planned stop of a daemon."""

from __future__ import annotations

import pytest

from bronzetrack.membership import lifecycle


@pytest.mark.parametrize(
    ("stopping_ms", "idle_ms", "refuses", "finished"),
    [
        (0, 0, False, False),
        (29_999, 29_999, False, False),
        (30_000, 999, False, False),
        (30_000, 1_000, False, True),
        (32_000, 0, True, False),
    ],
)
def test_stop_serves_callers_with_a_cached_answer(
    stopping_ms, idle_ms, refuses, finished
):
    """Guards against refusing callers whose cached answer is still valid.

    Also guards against callers with expired answers that delay the stop.
    """
    state = lifecycle.decide_stop(stopping_ms, idle_ms, 1_000, 30)
    assert state.stop_requested
    assert state.refuses_calls is refuses
    assert state.finished is finished
