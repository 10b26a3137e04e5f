"""Account of the memory that callers occupy, and who gives way.

Load pattern: callers send bodies and heads that stop before their end, or
read no answers, on many connections at once. Nothing here does I/O; time is
an argument.
"""

from __future__ import annotations

import collections
import enum
from typing import Protocol

import attrs

# Share of the machine's memory that callers may occupy. The process takes
# about 40 MB without requests, which is a quarter of the smallest machine.
# The rest is for its tables, for copies of bodies that are being sent, and
# for the kernel's buffers.
MEMORY_SHARE = 0.25
# Share of the account above which large bodies wait until others end.
TIGHT_SHARE = 0.5
# A body up to this size is read without a reservation.
SMALL_BODY_BYTES = 64 * 1024
# A body is held twice while it is sent to an endpoint.
BODY_COPIES = 2
# Memory of a header beside its name and value: a tuple, two byte strings and
# the entries of two lists.
LINE_BYTES = 192
# Large bodies that wait to be read; the newest is refused beyond that.
MAX_WAITING_BODIES = 32
MAX_WAIT_S = 3.0
# A large body that others wait for is given up after this time without a
# byte, or if it is slower than this on average. The slowest links have 625
# KB/s.
STALL_S = 1.0
CONTENDED_BYTES_PER_S = 200_000
# A caller that has not read its answer for this time may be disconnected
# when the account is full.
UNREAD_S = 1.0
# A full account is relieved down to this share of it.
RELIEVED_SHARE = 0.9


class Holder(enum.IntEnum):
    """What occupies memory for a caller."""

    HEADS = 0
    BODIES = 1
    REQUESTS = 2
    ANSWERS = 3


class Reason(enum.StrEnum):
    """Why a connection was closed or a request was refused."""

    MEMORY = "memory"
    WAITED = "waited"
    STALLED = "stalled"
    UNREAD = "unread"
    IDLE = "idle"
    CONNECTIONS = "connections"
    TIMEOUT = "timeout"
    LIMIT = "limit"
    MALFORMED = "malformed"


# Reasons that lie in the load of a VM and not in the request.
YIELDING_REASONS = (
    Reason.MEMORY,
    Reason.WAITED,
    Reason.STALLED,
    Reason.UNREAD,
    Reason.IDLE,
    Reason.CONNECTIONS,
)


class Reader(Protocol):
    """A connection on which a request is read."""

    def continue_reading(self) -> None:
        """Read the body, for which there is now memory."""

    def give_way(self, status: int, reason: Reason) -> None:
        """Refuse the request and close the connection."""


@attrs.define(eq=False)
class LargeBody:
    """A body that is read only with a reservation of memory.

    :param size: bytes to reserve
    :param since: when it began to wait, or to be read
    :param progressed_at: when a part of it last arrived
    :param received: bytes that arrived
    """

    reader: Reader
    size: int
    since: float
    progressed_at: float
    received: int = 0
    is_granted: bool = False

    def is_slow(self, now: float) -> bool:
        """Return whether the body is too slow to let others wait for it."""
        allowed_s = STALL_S + self.received / CONTENDED_BYTES_PER_S
        return (
            now - self.progressed_at > STALL_S or now - self.since > allowed_s
        )


@attrs.define(eq=False)
class Occupant:
    """What an incomplete request, or an unread answer, occupies.

    :param since: when it last changed
    :param started_at: when the request began to arrive
    """

    size: int
    since: float
    started_at: float


@attrs.define(eq=False)
class Account:
    """Memory that the callers of all listeners of a process occupy.

    :param capacity: bytes that they may occupy
    :param used: bytes that they occupy or have reserved
    :param by_holder: the same by `Holder`
    :param incomplete: connections with an incomplete request
    :param unread: connections with an answer that the caller does not read
    :param ended: connections closed and requests refused, by reason
    :param connections: number of open connections
    """

    capacity: int
    used: int = 0
    by_holder: list[int] = attrs.field(factory=lambda: [0] * len(Holder))
    granted: dict[Reader, LargeBody] = attrs.field(factory=dict)
    waiting: dict[Reader, LargeBody] = attrs.field(factory=dict)
    incomplete: dict[Reader, Occupant] = attrs.field(factory=dict)
    unread: dict[Reader, Occupant] = attrs.field(factory=dict)
    ended: collections.Counter[Reason] = attrs.field(
        factory=collections.Counter
    )
    connections: int = 0
    _logged: collections.Counter[Reason] = attrs.field(
        factory=collections.Counter
    )

    @property
    def is_tight(self) -> bool:
        """Whether what can wait is not read."""
        return self.used > self.capacity * TIGHT_SHARE

    @property
    def is_full(self) -> bool:
        """Whether no further request may be read."""
        return self.used >= self.capacity

    def change(self, holder: Holder, size: int) -> None:
        """Add bytes to what a holder occupies, or subtract them."""
        self.used += size
        self.by_holder[holder] += size

    def take_ended(self) -> dict[Reason, int]:
        """Return how many callers gave way to others since the last call."""
        counts = {
            reason: self.ended[reason] - self._logged[reason]
            for reason in YIELDING_REASONS
            if self.ended[reason] > self._logged[reason]
        }
        self._logged.update(counts)
        return counts

    def ask(self, reader: Reader, size: int, now: float) -> bool:
        """Ask to read a large body.

        :param size: size of the body, or the largest if it is not stated
        :returns: whether it may be read; otherwise it waits
        """
        body = LargeBody(reader, size * BODY_COPIES, now, now)
        if not self.waiting and self._has_room(body):
            self._grant(body, now)
        else:
            self.waiting[reader] = body
        return body.is_granted

    def end_body(self, reader: Reader) -> None:
        """Return the reservation of a body, or end its wait."""
        self.waiting.pop(reader, None)
        body = self.granted.pop(reader, None)
        if body is not None:
            self.change(Holder.BODIES, -body.size)

    def grant_waiting(self, now: float) -> list[Reader]:
        """Grant memory to bodies that wait, the oldest first.

        :returns: the connections on which reading continues
        """
        readers = []
        while self.waiting:
            reader, body = next(iter(self.waiting.items()))
            if not self._has_room(body):
                break
            del self.waiting[reader]
            self._grant(body, now)
            readers.append(reader)
        return readers

    def _has_room(self, body: LargeBody) -> bool:
        """Return whether a body may be read now.

        A body that is read alone may take what is free of the whole account.
        Where there is no other load, it is read even if it is larger.
        """
        if self.used + body.size <= self.capacity * TIGHT_SHARE:
            return True
        if self.granted:
            return False
        return (
            self.used + body.size <= self.capacity
            or self.used <= self.capacity / 8
        )

    def _grant(self, body: LargeBody, now: float) -> None:
        body.is_granted = True
        body.since = body.progressed_at = now
        self.granted[body.reader] = body
        self.change(Holder.BODIES, body.size)


def choose_refused_bodies(
    account: Account, now: float
) -> list[tuple[Reader, int, Reason]]:
    """Return the large bodies that give way, with status and reason.

    Slow ones give way to those that wait, the newest of too many that wait,
    and those that waited too long.
    """
    refused: list[tuple[Reader, int, Reason]] = []
    if not account.waiting:
        return refused
    for reader, body in account.granted.items():
        if body.is_slow(now):
            refused.append((reader, 408, Reason.STALLED))
    for position, (reader, body) in enumerate(account.waiting.items()):
        if position >= MAX_WAITING_BODIES:
            refused.append((reader, 503, Reason.MEMORY))
        elif now - body.since > MAX_WAIT_S:
            refused.append((reader, 503, Reason.WAITED))
    return refused


def choose_shed(account: Account, now: float) -> list[tuple[Reader, Reason]]:
    """Return the connections that are closed to relieve a full account.

    Answers that were not read for long come first, then incomplete requests:
    those that stand still, the largest and the newest of them.
    """
    excess = account.used - account.capacity * RELIEVED_SHARE
    if not account.is_full:
        return []
    unread = (
        (reader, Reason.UNREAD, item.size)
        for reader, item in sorted(
            account.unread.items(), key=lambda pair: pair[1].since
        )
        if now - item.since > UNREAD_S
    )
    incomplete = (
        (reader, Reason.MEMORY, item.size)
        for reader, item in sorted(
            account.incomplete.items(),
            key=lambda pair: _rank_incomplete(pair[1], now),
            reverse=True,
        )
    )
    chosen = []
    for reader, reason, size in (*unread, *incomplete):
        if excess <= 0:
            break
        chosen.append((reader, reason))
        excess -= size
    return chosen


def _rank_incomplete(item: Occupant, now: float) -> tuple[bool, int, float]:
    """Return how early an incomplete request gives way.

    Sizes within a factor of two count as equal.
    """
    is_stalled = now - item.since > STALL_S
    return is_stalled, item.size.bit_length(), item.started_at


@attrs.frozen
class Machine:
    """What the machine of a VM has for it.

    :param memory_mb: memory in units of 1,000,000 bytes
    :param max_fds: number of file descriptors
    """

    memory_mb: int = 160
    max_fds: int = 1_638

    @property
    def account_bytes(self) -> int:
        """Memory that callers may occupy."""
        return int(self.memory_mb * 1_000_000 * MEMORY_SHARE)

    @property
    def internal_connections(self) -> int:
        """Connections to one internal listener, of which there are four."""
        return max(4, self.max_fds // 64)

    @property
    def caller_connections(self) -> int:
        """Connections of callers.

        Each request in progress needs a descriptor for its endpoint as well,
        so that callers get less than half of all.
        """
        return max(4, self.max_fds // 2 - 4 * self.internal_connections)
