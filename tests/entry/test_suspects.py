"""Requests that may crash endpoints."""

from __future__ import annotations

from bronzetrack.entry import suspects


def test_request_is_refused_after_three_losses(now):
    """Guards against one request that ends one endpoint after the other."""
    known = suspects.Suspects()
    bad = suspects.identify("/p", b"bad")
    for step in range(suspects.MOST_LOSSES):
        assert not known.is_refused(bad, now + step)
        known.note_loss(bad, now + step)
    assert known.is_refused(bad, now + 10)
    assert not known.is_refused(suspects.identify("/p", b"good"), now + 10)
    assert not known.is_refused(bad, now + 10 + suspects.MEMORY_S)


def test_requests_without_a_body_are_never_suspected(now):
    """Guards against a path that is refused to all callers."""
    known = suspects.Suspects()
    plain = suspects.identify("/p", b"")
    for _ in range(10):
        known.note_loss(plain, now)
    assert not known.is_refused(plain, now)


def test_table_is_bounded(now):
    """Guards against memory that grows with each loss."""
    known = suspects.Suspects()
    for number in range(suspects.MOST_SUSPECTS + 5):
        known.note_loss(f"r{number}", now)
    assert len(known.losses) <= suspects.MOST_SUSPECTS
