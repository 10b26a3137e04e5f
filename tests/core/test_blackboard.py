"""Tests of waiting for changes of sections and mailboxes."""

from __future__ import annotations

import anyio

from bronzetrack.core import blackboard


def make_sources():
    section = blackboard.Section("s", "writer", 0)
    return section, blackboard.Mailbox("m", 8)


async def wait_while(change, section, mailbox):
    """Return whether a change ends a wait for the section or the mailbox."""
    with anyio.move_on_after(0.2) as scope:
        async with anyio.create_task_group() as group:
            group.start_soon(
                blackboard.wait_any,
                section.satisfies(lambda value: value > 1),
                mailbox.is_not_empty(),
            )
            await anyio.sleep(0.01)
            change()
    return not scope.cancelled_caught


def test_each_source_ends_a_wait():
    """Guards against a controller that is not woken by a change."""
    section, mailbox = make_sources()
    changes = (lambda: section.write("writer", 2), lambda: mailbox.post("x"))
    for change in changes:
        assert anyio.run(wait_while, change, *make_sources()) is False
        assert anyio.run(wait_while, change, section, mailbox) is True
        section, mailbox = make_sources()


def test_change_that_leaves_condition_false_ends_no_wait():
    """Guards against a controller that wakes at each renewal of a lease."""
    section, mailbox = make_sources()
    change = lambda: section.write("writer", 1)  # noqa: E731
    assert anyio.run(wait_while, change, section, mailbox) is False


def test_condition_that_already_holds_ends_wait_at_once():
    """Guards against a wake-up lost between a check and the wait."""
    section, mailbox = make_sources()
    mailbox.post("x")
    waits = blackboard.wait_any, section.is_newer(0), mailbox.is_not_empty()
    anyio.run(*waits)


async def wait_until_timeout(section, mailbox):
    waits = section.is_newer(0), mailbox.is_not_empty()
    with anyio.fail_after(1):
        await blackboard.wait_any(*waits, timeout_ms=10)
    return [source._watchers for source in (section, mailbox)]


def test_wait_that_times_out_removes_its_event():
    """Guards against a leak of one event for each wait."""
    assert anyio.run(wait_until_timeout, *make_sources()) == [set(), set()]
