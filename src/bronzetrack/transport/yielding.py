"""Which connection gives way to a new one.

Load pattern: more callers connect than there is room for, and some send a part
of a request and wait.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

# Connections that had a request are closed before those that are new for less
# than this time, which is enough for a request to arrive.
NEW_S = 0.1
# While no room is left, one address may hold this share of the connections.
ADDRESS_SHARE = 0.5


class Connection(Protocol):
    """A connection that may be closed."""

    def may_give_way(self) -> bool:
        """Return whether no answer is lost if it is closed."""


C = TypeVar("C", bound=Connection)


class Stage(enum.Enum):
    """What has come of a connection that rests.

    PARTIAL means that a part of its first request has arrived.
    """

    SILENT = "silent"
    PARTIAL = "partial"
    USED = "used"


@attrs.frozen
class Rest:
    """What is known of a connection without a complete request.

    :param address: IP address of the caller
    :param since: when anything last arrived, or the last request ended
    """

    address: str
    since: float


@attrs.define(eq=False)
class RestingConnections(Generic[C]):
    """Connections that serve no request, those that rest longest first.

    A request that has arrived in part counts as none.
    """

    _tables: dict[Stage, dict[C, Rest]] = attrs.field(
        factory=lambda: {stage: {} for stage in Stage}
    )

    def add(
        self, connection: C, address: str, stage: Stage, now: float
    ) -> None:
        """Add a connection, or note that it has made progress."""
        self.discard(connection)
        self._tables[stage][connection] = Rest(address, now)

    def discard(self, connection: C) -> None:
        """Remove a connection that serves a request or is closed."""
        for table in self._tables.values():
            table.pop(connection, None)

    def choose(self, address: str | None, now: float) -> C | None:
        """Return the connection that is closed for a new one, if any.

        Those that never had a request come first, then the longest at rest.
        Of those that are quite new, one whose request is still to be read is
        the last.

        :param address: address of the caller that has to give way, `None` if
            any may
        """
        found = {
            stage: next(self._iterate(stage, address), None) for stage in Stage
        }
        old = [
            (self._tables[stage][connection].since, stage)
            for stage in (Stage.PARTIAL, Stage.SILENT)
            if (connection := found[stage]) is not None
            and now - self._tables[stage][connection].since >= NEW_S
        ]
        if old:
            return found[min(old, key=lambda item: item[0])[1]]
        return found[Stage.USED] or found[Stage.PARTIAL] or found[Stage.SILENT]

    def _iterate(self, stage: Stage, address: str | None) -> Iterator[C]:
        return (
            connection
            for connection, rest in self._tables[stage].items()
            if address in (None, rest.address) and connection.may_give_way()
        )


def is_over_share(held: int, most: int, addresses: int) -> bool:
    """Return whether an address holds more than its share.

    :param held: connections of the address
    :param most: connections for which there is room
    :param addresses: number of addresses with connections
    """
    return addresses > 1 and held >= ADDRESS_SHARE * most
