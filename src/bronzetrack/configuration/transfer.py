"""Transfer of an encoded configuration between peers in parts."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.configuration import messages
from bronzetrack.configuration import state as states

# Half of the maximum frame size between peers, to leave room for the other
# fields of the message.
PART_BYTES = 524_288
# Limits a transfer to 32 MiB. 18,000 adapters need 4 parts.
MAX_PARTS = 64
# A replay that keeps up with the log never lags behind a peer for this long.
FETCH_DELAY_MS = 2_000
FETCH_INTERVAL_MS = 5_000


@attrs.frozen
class Transfer:
    """A partly received configuration of one peer.

    :param sender: name of the VM that sends the parts
    :param offset: offset of the publication that set the configuration
    :param through: offset up to which the sender had read the stream
    :param parts: number of parts
    :param received: received data by index of the part
    """

    sender: str
    offset: int
    through: int
    parts: int
    received: Mapping[int, bytes] = attrs.field(factory=dict)

    @property
    def data(self) -> bytes | None:
        """The encoded configuration, None while a part is missing."""
        if len(self.received) < self.parts:
            return None
        return b"".join(self.received[part] for part in range(self.parts))


def split_configuration(
    state: states.ConfigurationState, data: bytes
) -> list[messages.ConfigurationSnapshot]:
    """Return the messages that transfer an encoded configuration."""
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
    transfer. A part with an invalid index or part count is dropped.

    :param transfer: the transfer so far, None before the first part
    :param sender: name of the VM that sent the part
    """
    if not 0 <= message.part < message.parts <= MAX_PARTS:
        return transfer
    empty = Transfer(sender, message.offset, message.through, message.parts)
    if transfer is None or empty != attrs.evolve(transfer, received={}):
        transfer = empty
    received = {**transfer.received, message.part: message.data}
    return attrs.evolve(transfer, received=received)


def choose_source(
    state: states.ConfigurationState, offsets: Mapping[str, int], tries: int
) -> str | None:
    """Return the peer to fetch a configuration from.

    :param offsets: offset of the configuration in force, by peer
    :param tries: number of requests sent so far, by which peers take turns
    :returns: None if there is nothing to fetch
    """
    newest = max(offsets.values(), default=states.NO_OFFSET)
    own = state.configuration.offset
    if newest == states.NO_OFFSET or newest < own:
        return None
    if newest == own and state.complete:
        return None
    best = sorted(vm for vm, offset in offsets.items() if offset == newest)
    return best[tries % len(best)]
