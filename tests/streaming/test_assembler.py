"""Tests of the order and the completeness of answers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from bronzetrack.streaming import assembler
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes


@given(strategies.permutations(range(8)), strategies.integers(0, 8))
def test_assembler_restores_order(numbers, end_at):
    """Guards against chunks passed on as they happen to arrive."""
    joined = assembler.Assembler("a1")
    passed = []
    for place, number in enumerate(numbers):
        if place == end_at:
            joined.end(messages.AnswerEnd("a1", outcomes.Outcome.COMPLETED, 8))
        chunk = messages.AnswerChunk("a1", number, b"%d" % number)
        passed += joined.accept(chunk) + joined.accept(chunk)
        assert not joined.is_whole or len(passed) == 8
    assert passed == [b"%d" % number for number in range(8)]


def test_assembler_drops_chunk_of_abandoned_attempt(joined, make_chunk):
    """Guards against a late answer that mixes into that of a retry."""
    joined.restart("a2")
    assert joined.accept(make_chunk(0)) == []
    assert joined.accept(make_chunk(0, "a2")) == [b"0"]


def test_assembler_is_not_whole_without_end(joined, make_chunk):
    """Guards against a broken stream passed off as complete."""
    joined.accept(make_chunk(0))
    assert not joined.is_whole


def test_assembler_is_not_whole_with_a_gap(joined, make_chunk):
    """Guards against an end marker that overtakes a lost chunk."""
    joined.accept(make_chunk(0))
    joined.end(messages.AnswerEnd("a1", outcomes.Outcome.COMPLETED, 2))
    assert not joined.is_whole
