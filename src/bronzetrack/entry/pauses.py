"""Detection of times in which the event loop of a process stood still."""

from __future__ import annotations

import enum

import attrs

# A timer that is late by more than this shows that the loop stood still.
PAUSE_S = 0.5
# With this share of it as processor time, the process's own work kept the
# loop. Otherwise the process was not run, for instance with its VM.
OWN_WORK_SHARE = 0.5


class Cause(enum.StrEnum):
    """What kept the loop."""

    OWN_WORK = "own_work"
    NOT_RUN = "not_run"


@attrs.frozen
class Pause:
    """A time in which the loop stood still, in seconds.

    :param busy_s: processor time that the process used meanwhile
    """

    late_s: float
    busy_s: float

    @property
    def cause(self) -> Cause:
        """What probably kept the loop."""
        is_busy = self.busy_s >= OWN_WORK_SHARE * self.late_s
        return Cause.OWN_WORK if is_busy else Cause.NOT_RUN


@attrs.define
class PauseWatch:
    """Finds pauses with a timer that is checked at an interval.

    :param interval_s: time between two checks
    :param checked_at: time of the last check
    :param busy_s: processor time of the process until then
    """

    interval_s: float
    checked_at: float
    busy_s: float

    def check(self, now: float, busy_s: float) -> Pause | None:
        """Return the pause since the last check, if there was one.

        :param busy_s: processor time of the process so far
        """
        late_s = now - self.checked_at - self.interval_s
        used_s = busy_s - self.busy_s
        self.checked_at = now
        self.busy_s = busy_s
        return Pause(late_s, used_s) if late_s > PAUSE_S else None
