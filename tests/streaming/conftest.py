"""Fixtures for tests of answers."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bronzetrack.streaming import assembler
from bronzetrack.streaming import messages


@pytest.fixture
def answer() -> assembler.Assembler:
    return assembler.Assembler("a1")


@pytest.fixture
def make_chunk() -> Callable[..., messages.AnswerChunk]:
    def make(number: int, attempt: str = "a1") -> messages.AnswerChunk:
        return messages.AnswerChunk(attempt, number, b"%d" % number)

    return make
