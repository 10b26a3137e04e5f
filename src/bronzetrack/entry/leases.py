"""Lease of the VM that gives orders to the engines.

The last record of a log partition defines the lease. The end position after
the record is the fencing token, and a conditional append decides between
candidates. The holder renews the lease by appending another record. A
candidate waits for the whole duration of the lease, counted from when it first
knew of the last record, so that holders never overlap even if their clocks
differ.

Where engines refuse orders with an older token, an overlap is harmless and a
candidate waits for less time. It does not wait once the holder has announced
that it stopped or that its lease lapsed. If no heartbeat arrives from the
holder, it waits until the holder has missed a renewal.

The store may be restored from an older copy, without the last records. The
holder then gives no orders until it has appended in the new era.
"""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import positions

# The holder stops giving orders this fraction of the duration before the lease
# ends.
HOLDER_MARGIN = 0.2
# The holder renews the lease when this fraction of its duration has passed.
RENEW_AFTER = 0.4
# A candidate waits for this fraction of the duration since the last record.
CANDIDATE_WAIT = 1.05
# The same fraction where the holder is silent and engines check tokens. The
# holder has missed a renewal by then.
SILENT_WAIT = 0.6
# Additional wait for each candidate with a lower rank, as a fraction of the
# duration. It keeps candidates from appending at once.
RANK_DELAY = 0.15


class Step(enum.Enum):
    """Next action of the leadership controller."""

    WAIT = "wait"
    APPEND = "append"
    READ = "read"
    RELEASE = "release"


@attrs.frozen
class LeaseReport:
    """What other VMs report of the lease.

    :param end: end position of the lease log, -1 if unknown
    :param holder: VM that appended the last record, empty if unknown
    :param released: whether that record, or its lapse, released the lease
    """

    end: int = -1
    holder: str = ""
    released: bool = False

    def merge(self, other: LeaseReport) -> LeaseReport:
        """Return the more recent of two reports, or what both say together."""
        if other.end != self.end:
            return max(self, other, key=lambda item: item.end)
        return LeaseReport(
            self.end,
            self.holder or other.holder,
            self.released or other.released,
        )


@attrs.define(eq=False)
class Lease:
    """State of the lease as this VM knows it.

    :param ttl_s: duration of the lease in seconds
    :param end: position after the last record, -1 if unknown
    :param changed_at: when this VM first knew of that end, or of the era
    :param token: fencing token of this VM's last renewal
    :param valid_until: until when this VM may give orders
    :param renewed_at: when this VM sent its last successful renewal
    :param holder: VM that holds the lease, empty if unknown
    :param released: whether the holder announced that it gives no more orders
    :param checked: whether this VM knows the last record since its start
    :param is_end_known: whether the log was told or read since the store was
        restored. Before that, `end` is the start of the new era.
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
    is_end_known: bool = True

    def is_held(self, now: float) -> bool:
        """Return whether this VM may give orders."""
        return now < self.valid_until

    def is_stray(
        self, offset: positions.Position, engines_check_tokens: bool
    ) -> bool:
        """Return whether an append does not prove the lease.

        A VM that starts may meet a copy that lacks the records of a holder.
        Its first append counts nevertheless if engines refuse the orders of
        that holder.

        :param offset: position of the record
        """
        era = positions.get_era(offset)
        if self.end < 0:
            return era > 0 and not engines_check_tokens
        return era != positions.get_era(self.end)

    @property
    def is_proven(self) -> bool:
        """Whether this VM's last renewal is of the present era."""
        return positions.get_era(self.token) == positions.get_era(self.end)

    def enter_era(self, era: int, now: float) -> None:
        """Forget the end of the log, as the store was restored from a copy.

        A holder stays one, as no other VM has taken the lease meanwhile, but
        is not proven.
        """
        self.end = positions.make_position(era, 0)
        self.is_end_known = False
        self.changed_at = now
        self.holder = ""
        self.released = False

    def apply_stray_record(
        self, offset: positions.Position, now: float
    ) -> None:
        """Record an append that succeeded but does not prove the lease.

        What it was compared with is not what this VM knew, or a copy without
        any record, so that another VM may hold the lease.
        """
        self.enter_era(positions.get_era(offset), now)
        self.update_end(offset + 1, "", now)

    def update_end(
        self, end: int, holder: str, now: float, released: bool = False
    ) -> None:
        """Record the end of the log that another VM or the log reported."""
        if end > self.end:
            if holder and not self.is_proven:
                # Another VM has appended in this era before.
                self.relinquish()
            self.end = end
            self.is_end_known = True
            self.changed_at = now
            self.holder = holder
            self.released = released
        elif end == self.end:
            self.holder = self.holder or holder
            self.released = self.released or released

    def apply_last_record(
        self,
        end: int,
        own: bool,
        released: bool,
        now: float,
        in_era: bool = True,
    ) -> None:
        """Record the last record of the log, read after the start of this VM.

        It is also read after a restore of the store, if no VM told its end.

        :param end: position after the record
        :param own: whether an earlier run of this VM appended the record in
            this era. That run has ended and no other VM may give orders, so
            that this VM need not wait. The first record of a log proves
            nothing, as the log may have been a copy without the others.
        :param released: whether the record releases the lease, in this era
        :param in_era: whether the record was written in this era. A holder
            of an older one counts from when this VM knew of the restore.
        """
        is_first = not self.checked
        changed_at = now if in_era or is_first else self.changed_at
        self.checked = True
        self.is_end_known = True
        self.update_end(end, "", changed_at)
        if end != self.end:
            return
        self.released = released
        is_sure = not positions.get_era(end) or positions.get_offset(end) > 1
        if own and is_first and is_sure:
            self.changed_at = now - 2 * self.ttl_s

    def apply_renewal(self, offset: int, sent_at: float, vm: str) -> None:
        """Record that this VM appended the last record.

        :param offset: position of the record
        :param sent_at: when the call was sent, which is when the lease starts
        """
        self.end = offset + 1
        self.token = offset + 1
        self.changed_at = sent_at
        self.renewed_at = sent_at
        self.valid_until = sent_at + self.ttl_s * (1 - HOLDER_MARGIN)
        self.holder = vm
        self.released = False
        self.checked = True
        self.is_end_known = True

    def mark_lapsed(self, now: float) -> bool:
        """Mark the lease as released if this VM's own lease has lapsed.

        Other VMs may be informed of the lapse.

        :returns: whether the lapse was detected now for the first time
        """
        lapsed = self.token == self.end and not self.is_held(now)
        if not lapsed or self.released:
            return False
        self.released = True
        return True

    def relinquish(self) -> None:
        """End this VM's right to give orders, in its own state only.

        A release also appends a record that announces it to other VMs.
        """
        self.valid_until = 0.0


@attrs.frozen
class StepConditions:
    """Conditions besides the lease that determine the next step.

    :param rank: position of this VM among the live candidates. Candidates with
        a higher rank wait longer, so that not all of them append at once.
    :param stopping: whether this VM is shutting down as planned
    :param engines_check_tokens: whether engines refuse orders with an older
        token. Only then may a successor start before the lease lapses,
        because engines refuse orders of the former holder that are still in
        flight.
    :param has_successor: whether another VM can take the lease
    :param holder_silent: whether heartbeats arrive from other VMs but not from
        the holder
    """

    rank: int = 0
    stopping: bool = False
    engines_check_tokens: bool = False
    has_successor: bool = False
    holder_silent: bool = False


def decide_step(
    lease: Lease, conditions: StepConditions, now: float
) -> tuple[Step, float]:
    """Return the next step and the time at which to decide again.

    :param now: present time in seconds
    """
    if lease.is_held(now):
        return _decide_as_holder(lease, conditions, now)
    if conditions.stopping:
        return Step.WAIT, now + lease.ttl_s
    if lease.end < 0:
        return Step.APPEND, now
    if not lease.checked and lease.is_end_known:
        return Step.READ, now
    wait = _measure_wait(lease, conditions) + RANK_DELAY * conditions.rank
    due = lease.changed_at + lease.ttl_s * wait
    if now < due:
        return Step.WAIT, due
    return (Step.APPEND if lease.is_end_known else Step.READ), now


def _decide_as_holder(
    lease: Lease, conditions: StepConditions, now: float
) -> tuple[Step, float]:
    if (
        conditions.stopping
        and conditions.engines_check_tokens
        and conditions.has_successor
    ):
        return Step.RELEASE, now
    if not lease.is_proven:
        return (Step.APPEND if lease.is_end_known else Step.READ), now
    due = lease.renewed_at + lease.ttl_s * RENEW_AFTER
    if now >= due and not conditions.stopping:
        return Step.APPEND, now
    return Step.WAIT, max(due, now + 0.05)


def _measure_wait(lease: Lease, conditions: StepConditions) -> float:
    """Return the fraction of the duration for which a candidate waits."""
    if not conditions.engines_check_tokens:
        return CANDIDATE_WAIT
    if lease.released:
        return 0.0
    return SILENT_WAIT if conditions.holder_silent else CANDIDATE_WAIT
