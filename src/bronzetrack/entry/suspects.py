"""Requests that may crash the endpoints that run them.

Load pattern: one request ends each endpoint that begins it, and its caller
sends it again to any VM. Requests are told apart by path and body; all VMs
hear of each loss.
"""

from __future__ import annotations

import hashlib

import attrs

# A request after whose start this many endpoints broke off is refused.
MOST_LOSSES = 3
# Losses are forgotten after this time.
MEMORY_S = 60.0
MOST_SUSPECTS = 10_000


def identify(path: str, body: bytes) -> str:
    """Return what a repeated request has in common with the first.

    Requests without a body are alike for all callers, so that they are never
    suspected.
    """
    if not body:
        return ""
    digest = hashlib.blake2b(body, key=path.encode()[:64], digest_size=12)
    return digest.hexdigest()


@attrs.define(eq=False)
class Suspects:
    """Times of losses by request."""

    losses: dict[str, list[float]] = attrs.field(factory=dict)

    def note_loss(self, identity: str, now: float) -> None:
        """Count an endpoint that broke off while it ran a request."""
        if not identity:
            return
        if len(self.losses) >= MOST_SUSPECTS:
            self.losses.pop(next(iter(self.losses)))
        recent = self._list_recent(identity, now)
        self.losses[identity] = [*recent, now]

    def is_refused(self, identity: str, now: float) -> bool:
        """Return whether a request is not sent any more."""
        return len(self._list_recent(identity, now)) >= MOST_LOSSES

    def _list_recent(self, identity: str, now: float) -> list[float]:
        return [
            at for at in self.losses.get(identity, ()) if now - at < MEMORY_S
        ]
