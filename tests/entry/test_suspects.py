"""Tests of the detection of requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bronzetrack.entry import suspectkeys
from bronzetrack.entry import suspects

KEY = "bad"


@pytest.fixture
def table() -> suspects.Suspects:
    """Return a table without evidence."""
    return suspects.Suspects()


@pytest.fixture
def answers() -> suspects.Answers:
    """Return a table without answers."""
    return suspects.Answers()


@pytest.fixture
def is_refused(table, answers) -> Callable[[float], bool]:
    """Return a function that tells whether `KEY` is refused at a time."""
    return lambda at: table.is_refused(KEY, answers, at)


def record_crashes(
    table: suspects.Suspects, now: float, start: int = 1
) -> None:
    """Record as many crashes of different endpoints as refuse a key.

    :param start: number of the endpoints' starts
    """
    for number in range(suspects.MAX_CRASHES):
        table.record_crash(KEY, f"e{number}/{start}", now + number)


def test_request_is_refused_after_three_crashes(
    table, answers, is_refused, now
):
    """Guards against one request that crashes one endpoint after another."""
    for step in range(suspects.MAX_CRASHES):
        assert not is_refused(now + step)
        table.record_crash(KEY, f"e{step}/1", now + step)
    assert is_refused(now + 10)
    assert not table.is_refused("good", answers, now + 10)
    assert not is_refused(now + 10 + suspects.RETENTION_S)


def test_losses_of_one_start_of_an_endpoint_are_one_crash(
    table, is_refused, now
):
    """Guards against sound requests refused after resets by one endpoint."""
    for step in range(5):
        table.record_crash(KEY, "e1/1", now + step)
    assert not is_refused(now + 5)
    table.record_crash(KEY, "e1/2", now + 5)
    table.record_crash(KEY, "e1/3", now + 6)
    assert is_refused(now + 7)


def test_answered_request_is_not_refused_for_earlier_crashes(
    table, answers, is_refused, now
):
    """Guards against refusals of a request that crashes of others hit."""
    record_crashes(table, now)
    answers.record([KEY], now + 10)
    assert not is_refused(now + 11)
    record_crashes(table, now + 20, start=2)
    assert is_refused(now + 30)


def test_answer_on_another_vm_clears_earlier_crashes(table, is_refused, now):
    """Guards against VMs that refuse what others have answered."""
    record_crashes(table, now)
    table.by_key[KEY].clear(now + 1)
    assert not is_refused(now + 10)
    evidence = table.by_key[KEY]
    assert len(evidence.list_counting(float("-inf"), now + 10)) == 1
    table.by_key[KEY].clear(now - 5)
    assert table.by_key[KEY].cleared_at == now + 1


@pytest.mark.parametrize(
    ("target", "body", "caller", "is_same"),
    [
        (b"/p?q=1", b"", "10.0.0.1", True),
        (b"/p?q=2", b"", "10.0.0.1", False),
        (b"/p?q=1", b"", "10.0.0.2", False),
        (b"/p?q=1", b"body", "10.0.0.1", False),
    ],
)
def test_copies_without_a_body_share_their_target_and_caller(
    make_request, target, body, caller, is_same
):
    """Guards against a GET that is never refused, or refused for all."""
    bad = make_request(target=b"/p?q=1", caller="10.0.0.1")
    other = make_request(target=target, body=body, caller=caller)
    keys = suspectkeys.list_keys(other)
    assert (keys == suspectkeys.list_keys(bad)) == is_same


def test_copies_with_a_body_need_not_share_their_caller(make_request):
    """Guards against one body that crashes endpoints from each address."""
    bad = make_request(body=b"bad", caller="10.0.0.1")
    copy = make_request(body=b"bad", caller="10.0.0.2")
    assert suspectkeys.list_keys(copy) == suspectkeys.list_keys(bad)


def test_sound_prompts_pass_while_a_rarer_part_explains_the_crashes(
    table, answers, make_request, now
):
    """Guards against a refusal of all prompts, so that none is answered.

    The load: a fifth of the prompts has a deadly part from the first second
    on. Engines crash before any prompt with the common part is answered.
    """
    arrivals = suspects.Arrivals()
    sound = make_request(shared_parts=("common", "usual"), body=b"s")
    deadly = make_request(shared_parts=("common", "deadly"), body=b"d")
    for request in [sound] * 8 + [deadly] * 2:
        request.suspect_keys = suspectkeys.list_keys(request)
        arrivals.record(request.suspect_keys)
    for number in range(suspects.MAX_CRASHES):
        for key in ("part:common", "part:usual", "part:deadly"):
            table.record_crash(key, f"e{number}/1", now)

    def is_refused(request, at):
        return suspects.is_refused(request, table, answers, arrivals, at)

    assert is_refused(deadly, now + 1)
    assert not is_refused(sound, now + 1)
    for number in range(suspects.MAX_CRASHES):
        table.record_crash("part:common", f"e{number}/2", now + 2)
    assert is_refused(sound, now + 3)


def test_part_of_an_answer_that_has_begun_well_is_not_accused(make_request):
    """Guards against sound parts that are blamed for another's crash."""
    request = make_request(body=b"x", shared_parts=("a", "b"))
    fingerprint = suspectkeys.fingerprint_request(request)
    at_start = suspectkeys.list_accused_keys(request, 0.0)
    assert at_start == (fingerprint, "part:a", "part:b")
    later = suspectkeys.list_accused_keys(request, suspectkeys.STARTING_S)
    assert later == (fingerprint,)


def test_full_table_keeps_the_refused_keys(table, answers, is_refused, now):
    """Guards against a refusal that ends when many sound requests are lost."""
    record_crashes(table, now)
    for number in range(suspects.MAX_SUSPECTS + 5):
        table.record_crash(f"r{number}", "e/1", now)
    assert is_refused(now + 10)
    assert len(table.by_key) <= suspects.MAX_SUSPECTS


def test_tables_are_bounded(table, answers, now):
    """Guards against memory use that grows with each loss or answer."""
    for number in range(suspects.MAX_SUSPECTS + 5):
        table.record_crash(f"r{number}", "e/1", now)
        answers.record([f"r{number}"], now)
    assert len(table.by_key) <= suspects.MAX_SUSPECTS
    assert len(answers.at_by_key) <= suspects.MAX_ANSWERED
