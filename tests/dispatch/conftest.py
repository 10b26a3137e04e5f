"""Fixtures for the dispatch tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from bronzetrack.dispatch import state as states
from bronzetrack.streaming import messages


@pytest.fixture(scope="session")
def make_work() -> Callable[..., messages.SubmitWork]:
    def make(attempt: str, **fields: Any) -> messages.SubmitWork:
        defaults = {
            "request": attempt,
            "endpoint": "engine",
            "member": "north",
            "adapter": "a@1",
            "work_class": "normal",
            "method": "POST",
            "path": "/v1/completions",
            "body": b"",
            "timeout_ms": 60_000,
        }
        return messages.SubmitWork(attempt=attempt, **defaults | fields)

    return make


@pytest.fixture(scope="session")
def make_waiting(make_work) -> Callable[..., states.Waiting]:
    def make(attempt: str, queued_ms: int = 0, **fields: Any) -> Any:
        return states.Waiting(make_work(attempt, **fields), "vm", queued_ms)

    return make
