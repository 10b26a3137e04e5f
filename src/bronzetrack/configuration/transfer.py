"""Transfer of a configuration between peers in parts."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.configuration import messages
from bronzetrack.configuration import state as states

# Half of the largest frame between peers, since other fields need room.
PART_BYTES = 524_288
# 32 MiB; 18,000 adapters need 4 parts.
MAX_PARTS = 64
# A replay that keeps up with the log is never behind for so long.
FETCH_AFTER_MS = 2_000
FETCH_INTERVAL_MS = 5_000


@attrs.frozen
class Transfer:
    """The parts that have arrived from one peer."""

    sender: str
    offset: int
    through: int
    parts: int
    received: Mapping[int, bytes] = attrs.field(factory=dict)

    @property
    def data(self) -> bytes | None:
        """The whole, once every part is there."""
        if len(self.received) < self.parts:
            return None
        return b"".join(self.received[part] for part in range(self.parts))


def split(
    state: states.ConfigurationState, data: bytes
) -> list[messages.ConfigurationSnapshot]:
    """Return the messages that carry an encoded configuration."""
    starts = range(0, len(data), PART_BYTES)
    return [
        messages.ConfigurationSnapshot(
            state.configuration.offset,
            state.next_offset,
            part,
            len(starts),
            data[start : start + PART_BYTES],
        )
        for part, start in enumerate(starts)
    ]


def add_part(
    transfer: Transfer | None,
    sender: str,
    message: messages.ConfigurationSnapshot,
) -> Transfer | None:
    """Return the transfer with one more part.

    A part of another configuration or from another peer starts a new
    transfer; a part that makes no sense is dropped.
    """
    if not 0 <= message.part < message.parts <= MAX_PARTS:
        return transfer
    fresh = Transfer(sender, message.offset, message.through, message.parts)
    if transfer is None or fresh != attrs.evolve(transfer, received={}):
        transfer = fresh
    received = {**transfer.received, message.part: message.data}
    return attrs.evolve(transfer, received=received)


def choose_source(
    state: states.ConfigurationState, offsets: Mapping[str, int], tries: int
) -> str | None:
    """Return the peer to fetch from, None if there is nothing to fetch.

    :param offsets: offset in force by peer
    :param tries: how often this VM has asked, so that peers take turns
    """
    newest = max(offsets.values(), default=states.NO_OFFSET)
    own = state.configuration.offset
    if newest == states.NO_OFFSET or newest < own:
        return None
    if newest == own and state.complete:
        return None
    best = sorted(vm for vm, offset in offsets.items() if offset == newest)
    return best[tries % len(best)]
