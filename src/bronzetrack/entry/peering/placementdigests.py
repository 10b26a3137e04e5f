"""Encoding of changes of what engines hold, for messages to all VMs.

A change takes about a third of the bytes of a message of its own. Engines are
named by 32-bit numbers, as each VM knows the names from the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import struct

from bronzetrack.entry import messages
from bronzetrack.entry.peering import peers

# Number of the engine, version, and length of the adapter's name.
CHANGE = struct.Struct("<IHB")
MAX_VERSION = 0xFFFF
MAX_NAME_BYTES = 0xFF
# Bytes of changes in one message, which leaves room for the model's name.
DIGEST_BYTES = 1_200


def measure(change: messages.HoldingChange) -> int:
    """Return the bytes that a change takes in a digest."""
    return CHANGE.size + len(change.adapter.encode())


def encode(
    changes: Iterable[messages.HoldingChange],
) -> Iterator[messages.PlacementDigest | messages.HoldingChange]:
    """Yield messages that hold the given changes, in order for each adapter.

    A change that has no room in the format is yielded as it is.
    """

    def get_model(change: messages.HoldingChange) -> str:
        return change.model

    for model, group in itertools.groupby(changes, get_model):
        data = b""
        for change in group:
            if not _has_room(change):
                yield change
                continue
            if len(data) + measure(change) > DIGEST_BYTES:
                yield messages.PlacementDigest(model, data)
                data = b""
            data += _encode_change(change)
        if data:
            yield messages.PlacementDigest(model, data)


def _has_room(change: messages.HoldingChange) -> bool:
    return (
        0 <= change.version <= MAX_VERSION
        and len(change.adapter.encode()) <= MAX_NAME_BYTES
    )


def _encode_change(change: messages.HoldingChange) -> bytes:
    name = change.adapter.encode()
    key = peers.compute_key(change.identity)
    return CHANGE.pack(key, change.version, len(name)) + name


def decode(
    digest: messages.PlacementDigest, identities: Iterable[str]
) -> list[messages.HoldingChange]:
    """Return the changes at the engines that are known.

    :param identities: ids of the known endpoints
    :raises messages.MessageError: the digest is cut off or not valid
    """
    by_key = {peers.compute_key(item): item for item in identities}
    changes = []
    start = 0
    try:
        while start < len(digest.changes):
            key, version, length = CHANGE.unpack_from(digest.changes, start)
            end = start + CHANGE.size + length
            if end > len(digest.changes):
                raise messages.MessageError("a change is cut off")
            name = str(digest.changes[start + CHANGE.size : end], "utf-8")
            start = end
            if key in by_key:
                changes.append(
                    messages.HoldingChange(
                        by_key[key], digest.model, name, version
                    )
                )
    except (struct.error, UnicodeDecodeError) as error:
        raise messages.MessageError(f"invalid digest: {error!r}") from error
    return changes
