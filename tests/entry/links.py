"""Simulated network links that lose datagrams."""

from __future__ import annotations

import attrs

# Bytes of the headers of a datagram on a link.
HEADER_BYTES = 42
# Bandwidth of the narrowest links, and the time for which they queue packets.
NARROW_BYTES_PER_S = 625_000
NARROW_QUEUE_S = 0.05


@attrs.define
class Link:
    """Network link of a VM, which loses what its queue has no room for.

    :param bytes_per_s: bandwidth
    :param queue_s: time for which packets wait at the most
    :param waiting_bytes: bytes in the queue at the time `updated_at`
    """

    bytes_per_s: float = NARROW_BYTES_PER_S
    queue_s: float = NARROW_QUEUE_S
    waiting_bytes: float = 0.0
    updated_at: float = 0.0

    def accept(self, data: bytes, now: float) -> bool:
        """Queue a datagram and return whether there is room for it."""
        sent = (now - self.updated_at) * self.bytes_per_s
        self.waiting_bytes = max(0.0, self.waiting_bytes - sent)
        self.updated_at = now
        size = len(data) + HEADER_BYTES
        if self.waiting_bytes + size > self.bytes_per_s * self.queue_s:
            return False
        self.waiting_bytes += size
        return True
