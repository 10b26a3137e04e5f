"""Tests of the order and the completeness of answers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from bronzetrack.streaming import assembler
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes


@given(strategies.permutations(range(8)), strategies.integers(0, 8))
def test_assembler_restores_order(numbers, end_at):
    """Guards against chunks that are passed on in order of arrival."""
    answer = assembler.Assembler("a1")
    passed = []
    for position, number in enumerate(numbers):
        if position == end_at:
            answer.set_total(
                messages.AnswerEnd("a1", outcomes.Outcome.COMPLETED, 8)
            )
        chunk = messages.AnswerChunk("a1", number, b"%d" % number)
        passed += answer.accept(chunk) + answer.accept(chunk)
        assert not answer.is_whole or len(passed) == 8
    assert passed == [b"%d" % number for number in range(8)]


def test_assembler_drops_chunk_of_replaced_attempt(answer, make_chunk):
    """Guards against late chunks that mix into the answer of a retry."""
    answer.restart("a2")
    assert answer.accept(make_chunk(0)) == []
    assert answer.accept(make_chunk(0, "a2")) == [b"0"]


def test_assembler_is_not_whole_without_end(answer, make_chunk):
    """Guards against a broken stream that counts as complete."""
    answer.accept(make_chunk(0))
    assert not answer.is_whole


def test_assembler_is_not_whole_with_a_gap(answer, make_chunk):
    """Guards against an end of the answer that overtakes a lost chunk."""
    answer.accept(make_chunk(0))
    answer.set_total(messages.AnswerEnd("a1", outcomes.Outcome.COMPLETED, 2))
    assert not answer.is_whole


def test_resume_closes_a_gap_and_repeats_nothing(answer, make_chunk):
    """Guards against chunks lost or sent twice when a stream is resumed."""
    assert answer.accept(make_chunk(0)) == [b"0"]
    assert answer.accept(make_chunk(2)) == []
    assert answer.has_gap
    answer.resume("a2")
    assert not answer.has_gap
    assert answer.accept(make_chunk(1)) == []
    passed = [answer.accept(make_chunk(n, "a2")) for n in (0, 1, 2, 3)]
    assert passed == [[], [b"1"], [b"2"], [b"3"]]
    answer.set_total(messages.AnswerEnd("a1", outcomes.Outcome.COMPLETED, 9))
    assert not answer.is_whole and not answer.has_gap
    answer.set_total(messages.AnswerEnd("a2", outcomes.Outcome.COMPLETED, 4))
    assert answer.is_whole


def test_early_chunks_are_bounded_in_number(answer, make_chunk):
    """Guards against memory that grows while one chunk is missing."""
    for number in range(1, assembler.EARLY_CHUNKS + 50):
        assert answer.accept(make_chunk(number)) == []
    # The missing chunk is accepted even if the buffer is full.
    assert len(answer.accept(make_chunk(0))) == assembler.EARLY_CHUNKS + 1
    assert not answer.has_gap


def test_early_chunks_are_bounded_in_bytes(answer):
    """Guards against memory that grows with the size of early chunks."""
    data = b"x" * assembler.MAX_EVENT_BYTES
    capacity = assembler.EARLY_BYTES // assembler.MAX_EVENT_BYTES
    for number in range(1, capacity + 3):
        answer.accept(messages.AnswerChunk("a1", number, data))
    ready = answer.accept(messages.AnswerChunk("a1", 0, data))
    assert len(ready) == capacity + 1
    # Chunks that were passed on make room for the same amount again.
    for number in range(capacity + 2, 2 * capacity + 2):
        answer.accept(messages.AnswerChunk("a1", number, data))
    chunk = messages.AnswerChunk("a1", capacity + 1, data)
    assert len(answer.accept(chunk)) == capacity + 1
