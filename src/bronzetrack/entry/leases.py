"""Lease of the VM that gives orders to the engines.

The lease is the last record of a log partition: the offset is the fencing
token, and a conditional append decides between candidates. A holder renews by
appending again. A candidate waits for the whole time of the lease since it
first knew of the last record, so that holders never overlap whatever their
clocks say.

Where engines refuse orders with an older token, an overlap does no harm, and
a candidate waits less: not at all once the holder has said that it stopped or
that its lease lapsed, and until a missed renewal if the holder is silent.
"""

from __future__ import annotations

import enum

import attrs

# A holder stops this part of the lease before others may take it.
HOLDER_MARGIN = 0.2
# It renews when this part of the lease has passed.
RENEW_AFTER = 0.4
# A candidate waits this part of the lease since the last record.
CANDIDATE_WAIT = 1.05
# The same where the holder is silent and engines check tokens: it has missed
# a renewal then.
SILENT_WAIT = 0.6
# A candidate waits this part of the lease for each one that ranks before it.
RANK_DELAY = 0.15


class Step(enum.Enum):
    """What the controller does next."""

    WAIT = "wait"
    APPEND = "append"
    READ = "read"
    RELEASE = "release"


@attrs.define(eq=False)
class Lease:
    """What this VM knows of the lease.

    :param end: offset after the last record, -1 if unknown
    :param changed_at: when that end was first known here
    :param token: fencing token while this VM holds the lease
    :param valid_until: until when this VM may give orders
    :param released: whether the holder said that it gives no more orders
    :param checked: whether this VM has read the last record since its start
    """

    ttl_s: float
    end: int = -1
    changed_at: float = 0.0
    token: int = 0
    valid_until: float = 0.0
    renewed_at: float = 0.0
    holder: str = ""
    released: bool = False
    checked: bool = False

    def is_held(self, now: float) -> bool:
        """Return whether this VM may give orders."""
        return now < self.valid_until

    def note_end(
        self, end: int, holder: str, now: float, released: bool = False
    ) -> None:
        """Take in the end of the log that another VM or the log stated."""
        if end > self.end:
            self.end = end
            self.changed_at = now
            self.holder = holder
            self.released = released
        elif end == self.end:
            self.holder = self.holder or holder
            self.released = self.released or released

    def note_last(
        self, end: int, own: bool, released: bool, now: float
    ) -> None:
        """Take in the last record, read after the start of this VM.

        :param own: it is of an earlier run of this VM, which has ended, and
            nobody else may give orders meanwhile
        """
        self.checked = True
        self.note_end(end, "", now)
        if end != self.end:
            return
        self.released = released
        if own:
            self.changed_at = now - 2 * self.ttl_s

    def note_renewed(self, offset: int, sent_at: float, vm: str) -> None:
        """Take in that an append of this VM was the last record.

        :param sent_at: when the call was sent, the start of the lease
        """
        self.end = offset + 1
        self.token = offset + 1
        self.changed_at = sent_at
        self.renewed_at = sent_at
        self.valid_until = sent_at + self.ttl_s * (1 - HOLDER_MARGIN)
        self.holder = vm
        self.released = False
        self.checked = True

    def note_lapse(self, now: float) -> bool:
        """Take in that this VM's own lease lapsed, which others may know.

        :returns: whether that is new
        """
        lapsed = self.token == self.end and not self.is_held(now)
        if not lapsed or self.released:
            return False
        self.released = True
        return True

    def give_up(self) -> None:
        """Stop giving orders."""
        self.valid_until = 0.0


@attrs.frozen
class Situation:
    """What a step depends on beside the lease.

    :param rank: place of this VM among the candidates that live; later ones
        wait longer, so that not all of them append at once
    :param stopping: whether this VM stops as planned
    :param fenced: whether engines refuse orders with an older token. Only
        then may a successor start before the time of the lease has passed:
        an order of the former holder that is still on its way is refused.
    :param has_successor: whether another VM would take the lease
    :param holder_silent: whether the holder is not heard, though others are
    """

    rank: int = 0
    stopping: bool = False
    fenced: bool = False
    has_successor: bool = False
    holder_silent: bool = False


def decide_step(
    lease: Lease, situation: Situation, now: float
) -> tuple[Step, float]:
    """Return what to do and when to decide again."""
    if lease.is_held(now):
        return _decide_as_holder(lease, situation, now)
    if situation.stopping:
        return Step.WAIT, now + lease.ttl_s
    if lease.end < 0:
        return Step.APPEND, now
    if not lease.checked:
        return Step.READ, now
    wait = _measure_wait(lease, situation) + RANK_DELAY * situation.rank
    due = lease.changed_at + lease.ttl_s * wait
    return (Step.APPEND, now) if now >= due else (Step.WAIT, due)


def _decide_as_holder(
    lease: Lease, situation: Situation, now: float
) -> tuple[Step, float]:
    if situation.stopping and situation.fenced and situation.has_successor:
        return Step.RELEASE, now
    due = lease.renewed_at + lease.ttl_s * RENEW_AFTER
    if now >= due and not situation.stopping:
        return Step.APPEND, now
    return Step.WAIT, max(due, now + 0.05)


def _measure_wait(lease: Lease, situation: Situation) -> float:
    """Return the part of the lease for which a candidate waits."""
    if not situation.fenced:
        return CANDIDATE_WAIT
    if lease.released:
        return 0.0
    return SILENT_WAIT if situation.holder_silent else CANDIDATE_WAIT
