"""Detection of answers that no entry VM will receive any more."""

from __future__ import annotations

from bronzetrack.ownership import leases


def is_recipient_gone(
    ownership: leases.OwnershipState,
    incarnation: str,
    resumable: bool,
    lost_ms: int,
    now_ms: int,
) -> bool:
    """Return whether no entry VM will receive the rest of an answer.

    An entry VM that cannot reach the owner resumes a stream at the engine. If
    the owner cancelled the run or released its pin, the resumed stream would
    break off. An entry VM that is running renews its lease in the log, so its
    answers are kept until the lease has expired.

    :param incarnation: incarnation of the entry VM
    :param resumable: whether the endpoint can resume the answer
    :param lost_ms: monotonic time at which the entry VM stopped accepting the
        answer
    """
    if not resumable:
        return True
    if not ownership.log_reachable:
        return False
    lease = ownership.leases.get(incarnation)
    since_ms = lost_ms if lease is None else max(lost_ms, lease.read_ms)
    return now_ms - since_ms > leases.LEASE_MS + leases.CLOCK_MARGIN_MS
