"""Fixtures for the routing tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from bronzetrack.routing import candidates


@pytest.fixture
def make_candidate() -> Callable[..., candidates.Candidate]:
    def make(endpoint: str, **fields: Any) -> candidates.Candidate:
        defaults = {
            "owner": "vm",
            "slots": 16,
            "warm": True,
            "queued": 0,
            "report_age_ms": 900,
            "senders": 7,
        }
        return candidates.Candidate(endpoint=endpoint, **defaults | fields)

    return make
