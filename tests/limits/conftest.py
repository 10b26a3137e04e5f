"""Fixtures for the limits tests."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bronzetrack.limits import tokens
from bronzetrack.limits import transfers


@pytest.fixture
def make_permits() -> Callable[[float], transfers.Permits]:
    def make(count: float) -> transfers.Permits:
        return transfers.Permits(tokens.TokenBucket(count))

    return make
