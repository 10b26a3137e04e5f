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


def test_resume_closes_a_gap_and_repeats_nothing(joined, make_chunk):
    """Guards against chunks lost or sent twice when a stream is resumed."""
    assert joined.accept(make_chunk(0)) == [b"0"]
    assert joined.accept(make_chunk(2)) == []
    assert joined.has_gap
    joined.resume("a2")
    assert not joined.has_gap
    assert joined.accept(make_chunk(1)) == []
    passed = [joined.accept(make_chunk(n, "a2")) for n in (0, 1, 2, 3)]
    assert passed == [[], [b"1"], [b"2"], [b"3"]]
    joined.end(messages.AnswerEnd("a1", outcomes.Outcome.COMPLETED, 9))
    assert not joined.is_whole and not joined.has_gap
    joined.end(messages.AnswerEnd("a2", outcomes.Outcome.COMPLETED, 4))
    assert joined.is_whole


def test_early_chunks_are_bounded_in_number(joined, make_chunk):
    """Guards against memory that grows behind one lost chunk."""
    for number in range(1, assembler.EARLY_CHUNKS + 50):
        assert joined.accept(make_chunk(number)) == []
    # The chunk that is missing has room even then.
    assert len(joined.accept(make_chunk(0))) == assembler.EARLY_CHUNKS + 1
    assert not joined.has_gap


def test_early_chunks_are_bounded_in_bytes(joined):
    """Guards against memory that grows with the size of early chunks."""
    data = b"x" * assembler.EVENT_BYTES
    fitting = assembler.EARLY_BYTES // assembler.EVENT_BYTES
    for number in range(1, fitting + 3):
        joined.accept(messages.AnswerChunk("a1", number, data))
    ready = joined.accept(messages.AnswerChunk("a1", 0, data))
    assert len(ready) == fitting + 1
    # What was passed on leaves room for as much again.
    for number in range(fitting + 2, 2 * fitting + 2):
        joined.accept(messages.AnswerChunk("a1", number, data))
    chunk = messages.AnswerChunk("a1", fitting + 1, data)
    assert len(joined.accept(chunk)) == fitting + 1
