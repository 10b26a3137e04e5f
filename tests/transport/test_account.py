"""Tests of who gives way when callers occupy too much memory."""

from __future__ import annotations

import pytest

from bronzetrack.transport import account as accounts

CAPACITY = 40_000_000
LARGEST = 4 * 1024 * 1024


@pytest.fixture
def now() -> float:
    """Return the present time of a decision, in seconds."""
    return 1_000.0


@pytest.fixture
def account() -> accounts.Account:
    """Account of the smallest machine."""
    return accounts.Account(CAPACITY)


def test_largest_body_is_read_at_once_on_the_smallest_machine(account, now):
    """Guards against a limit that no single request could pass."""
    assert accounts.Machine().account_bytes == CAPACITY
    assert account.ask("a", LARGEST, now)


def test_body_larger_than_the_account_is_read_alone(account, now):
    """Guards against a configured limit that no request could use."""
    assert account.ask("a", CAPACITY, now)
    assert not account.ask("b", LARGEST, now)


def test_waiting_bodies_are_read_in_order_as_others_end(account, now):
    """Guards against a body that waits for ever behind smaller ones."""
    granted = [name for name in "abcd" if account.ask(name, LARGEST, now)]
    assert granted == ["a", "b"]
    assert not account.ask("e", 1, now)
    account.end_body("a")
    assert account.grant_waiting(now) == ["c"]
    for name in "abcde":
        account.end_body(name)
    assert account.used == 0
    assert not account.grant_waiting(now)


def test_body_that_stands_still_gives_way_only_to_others(account, now):
    """Guards against stalled bodies that hold all memory."""
    account.ask("a", LARGEST, now)
    late = now + accounts.STALL_S + 0.1
    assert not accounts.choose_refused_bodies(account, late)
    account.ask("b", CAPACITY, late)
    refused = accounts.choose_refused_bodies(account, late)
    assert refused == [("a", 408, accounts.Reason.STALLED)]


def test_body_that_trickles_gives_way_to_others(account, now):
    """Guards against a byte now and then that holds memory for long."""
    account.ask("a", LARGEST, now)
    account.ask("b", CAPACITY, now)
    body = account.granted["a"]
    body.progressed_at = late = now + 2.5
    body.received = 200_000
    assert accounts.choose_refused_bodies(account, late)
    body.received = 400_000
    assert not accounts.choose_refused_bodies(account, late)


def test_too_many_and_too_long_waits_are_refused(account, now):
    """Guards against a queue without bound in number or time."""
    account.ask("a", CAPACITY, now)
    count = accounts.MAX_WAITING_BODIES + 2
    for number in range(count):
        account.ask(number, LARGEST, now)
    refused = accounts.choose_refused_bodies(account, now)
    assert [item[:2] for item in refused] == [
        (count - 2, 503),
        (count - 1, 503),
    ]
    late = now + accounts.MAX_WAIT_S + 0.1
    account.granted["a"].progressed_at = account.granted["a"].since = late
    refused = accounts.choose_refused_bodies(account, late)
    assert len(refused) == count


def test_full_account_sheds_unread_answers_and_the_newest(account, now):
    """Guards against a full account that nobody leaves."""
    account.change(accounts.Holder.HEADS, CAPACITY - 1)
    early = now - 10
    occupant = accounts.Occupant
    account.unread = {"slow": occupant(1, early, early)}
    account.incomplete = {
        "old": occupant(CAPACITY // 10, now, early),
        "new": occupant(CAPACITY // 10, now, now),
        "small": occupant(1_000, now, now),
        "stalled": occupant(1_000, early, early),
    }
    assert not accounts.choose_shed(account, now)
    account.change(accounts.Holder.HEADS, 1)
    shed = [name for name, _ in accounts.choose_shed(account, now)]
    assert shed == ["slow", "stalled", "new"]


def test_machine_keeps_descriptors_for_endpoints():
    """Guards against callers that take the descriptors of endpoints."""
    for max_fds in (256, 1_638, 10_250):
        machine = accounts.Machine(160, max_fds)
        callers = machine.caller_connections
        assert 2 * callers + 4 * machine.internal_connections <= max_fds


def test_ended_callers_are_reported_once(account):
    """Guards against a log line that counts the same callers again."""
    account.ended[accounts.Reason.MEMORY] += 2
    account.ended[accounts.Reason.MALFORMED] += 1
    assert account.take_ended() == {accounts.Reason.MEMORY: 2}
    assert not account.take_ended()
