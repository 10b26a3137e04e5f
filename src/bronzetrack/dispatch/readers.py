"""Whether an answer that its entry VM does not take is still read."""

from __future__ import annotations

from bronzetrack.ownership import leases


def is_reader_gone(
    ownership: leases.OwnershipState,
    incarnation: str,
    resumable: bool,
    lost_ms: int,
    now_ms: int,
) -> bool:
    """Return whether nobody reads the rest of an answer.

    An entry VM that cannot reach the owner resumes a stream at the engine. A
    cancel by the owner, or a release of its pin, would then cut that off. An
    entry VM that is up renews its lease in the log.

    :param incarnation: the run of the entry VM
    :param resumable: whether the endpoint can resume the answer
    :param lost_ms: monotonic time since when it does not take the answer
    """
    if not resumable:
        return True
    if not ownership.log_reachable:
        return False
    lease = ownership.leases.get(incarnation)
    since_ms = lost_ms if lease is None else max(lost_ms, lease.read_ms)
    return now_ms - since_ms > leases.LEASE_MS + leases.CLOCK_MARGIN_MS
