"""Transfer of weight-store tokens between VMs.

The granting VM subtracts the tokens before it sends them, and the asking VM
accepts one grant for each request. A message that is lost, late or repeated
can therefore lower the sum of all buckets but never raise it.
"""

from __future__ import annotations

from collections.abc import Collection
import math

import attrs

from bronzetrack.core import rendezvous
from bronzetrack.limits import messages
from bronzetrack.limits import tokens

GRANT_TIMEOUT_MS = 500
# Peers with nothing to spare are asked again after this time. A VM's share
# of the rate brings about an eighth of a token in it.
ROUND_PAUSE_MS = 250


@attrs.frozen
class Permits:
    """The section with the loads that this VM may start.

    :param number: number of the latest request
    :param asked: peers asked in this round
    :param open_until_ms: time-out of the open request, None without one
    :param pause_until_ms: monotonic time before which no round begins
    """

    bucket: tokens.TokenBucket = attrs.field(factory=tokens.TokenBucket)
    number: int = 0
    asked: frozenset[str] = frozenset()
    open_until_ms: int | None = None
    pause_until_ms: int = 0

    def change(self, bucket: tokens.TokenBucket) -> Permits:
        """Return the permits with another bucket."""
        return attrs.evolve(self, bucket=bucket)

    def may_prefetch(self) -> bool:
        """Return whether a token is to spare.

        Peers in need drain the buckets of all VMs, so that a bucket is full
        only when no load waits for a token anywhere.
        """
        return self.open_until_ms is None and self.bucket.tokens >= 1


@attrs.frozen
class Question:
    """A request and the peer that it goes to."""

    peer: str
    request: messages.TokenRequest


def ask(
    permits: Permits,
    vm: str,
    peers: Collection[str],
    needed: int,
    now_ms: int,
) -> tuple[Permits, Question | None]:
    """Return the permits and the request to send now, if any.

    Peers are asked one after the other, in an order that differs by VM.

    :param needed: loads that could start now with enough tokens
    """
    lacking = needed - permits.bucket.tokens
    if lacking <= 0:
        return attrs.evolve(permits, asked=frozenset()), None
    if permits.open_until_ms is not None and now_ms < permits.open_until_ms:
        return permits, None
    if now_ms < permits.pause_until_ms:
        return permits, None
    left = [peer for peer in peers if peer not in permits.asked]
    if not left:
        paused = attrs.evolve(
            permits,
            asked=frozenset(),
            open_until_ms=None,
            pause_until_ms=now_ms + ROUND_PAUSE_MS,
        )
        return paused, None
    peer = rendezvous.rank_nodes(vm, left)[0]
    number = permits.number + 1
    asking = attrs.evolve(
        permits,
        number=number,
        asked=permits.asked | {peer},
        open_until_ms=now_ms + GRANT_TIMEOUT_MS,
    )
    return asking, Question(peer, messages.TokenRequest(number, lacking))


def grant(
    permits: Permits, request: messages.TokenRequest, reserved: int
) -> tuple[Permits, messages.TokenGrant]:
    """Return the permits without the tokens granted, and the answer.

    A part of a token starts no load. It is granted even if this VM waits for
    the rest of it, provided that it completes a token of the asking VM.

    :param reserved: loads that this VM could start itself
    """
    held = permits.bucket.tokens
    granted = max(0.0, min(held - reserved, request.tokens))
    if held <= reserved:
        lacking = request.tokens - (math.ceil(request.tokens) - 1)
        granted = lacking if lacking <= held - math.floor(held) else 0.0
    return (
        permits.change(permits.bucket.take(granted)),
        messages.TokenGrant(request.number, granted),
    )


def accept(permits: Permits, answer: messages.TokenGrant) -> Permits:
    """Return the permits after a grant; only one for the open request counts.

    A grant after the time-out still counts while no newer request was made.
    """
    if permits.open_until_ms is None or answer.number != permits.number:
        return permits
    return attrs.evolve(
        permits,
        bucket=permits.bucket.add(max(0.0, answer.tokens)),
        open_until_ms=None,
    )
