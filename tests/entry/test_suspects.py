"""Tests of the detection of requests that crash endpoints."""

from __future__ import annotations

from bronzetrack.entry import suspects


def test_request_is_refused_after_three_losses(now):
    """Guards against one request that crashes one endpoint after another."""
    table = suspects.Suspects()
    bad = suspects.fingerprint_request("/p", b"bad")
    for step in range(suspects.MAX_LOSSES):
        assert not table.is_refused(bad, now + step)
        table.record_loss(bad, now + step)
    assert table.is_refused(bad, now + 10)
    assert not table.is_refused(
        suspects.fingerprint_request("/p", b"good"), now + 10
    )
    assert not table.is_refused(bad, now + 10 + suspects.LOSS_RETENTION_S)


def test_requests_without_a_body_are_never_suspected(now):
    """Guards against a path that is refused for all callers."""
    table = suspects.Suspects()
    plain = suspects.fingerprint_request("/p", b"")
    for _ in range(10):
        table.record_loss(plain, now)
    assert not table.is_refused(plain, now)


def test_table_is_bounded(now):
    """Guards against memory use that grows with each loss."""
    table = suspects.Suspects()
    for number in range(suspects.MAX_SUSPECTS + 5):
        table.record_loss(f"r{number}", now)
    assert len(table.losses) <= suspects.MAX_SUSPECTS
