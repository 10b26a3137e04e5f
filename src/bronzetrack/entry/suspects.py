"""Requests that may crash the endpoints that run them.

Load pattern: one request crashes each endpoint that starts to run it, and its
caller retries it at any VM. Path and body identify a request, and each loss of
an endpoint is reported to all VMs.
"""

from __future__ import annotations

import hashlib

import attrs

# A request is refused after this many endpoints were lost while they ran it.
MAX_LOSSES = 3
# Losses older than this no longer count.
LOSS_RETENTION_S = 60.0
MAX_SUSPECTS = 10_000


def fingerprint_request(path: str, body: bytes) -> str:
    """Return a fingerprint of a request that its retries share.

    Requests without a body are the same for all callers, so they are never
    suspected.

    :returns: hash of path and body, empty for a request without a body
    """
    if not body:
        return ""
    digest = hashlib.blake2b(body, key=path.encode()[:64], digest_size=12)
    return digest.hexdigest()


@attrs.define(eq=False)
class Suspects:
    """Times of recent losses by fingerprint of the request."""

    losses: dict[str, list[float]] = attrs.field(factory=dict)

    def record_loss(self, fingerprint: str, now: float) -> int:
        """Count an endpoint that was lost while it ran a request.

        :returns: number of recent losses of the request, this one included
        """
        if not fingerprint:
            return 0
        if len(self.losses) >= MAX_SUSPECTS:
            self.losses.pop(next(iter(self.losses)))
        recent = self._list_recent(fingerprint, now)
        self.losses[fingerprint] = [*recent, now]
        return len(recent) + 1

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused because of its losses."""
        return len(self._list_recent(fingerprint, now)) >= MAX_LOSSES

    def _list_recent(self, fingerprint: str, now: float) -> list[float]:
        return [
            at
            for at in self.losses.get(fingerprint, ())
            if now - at < LOSS_RETENTION_S
        ]
