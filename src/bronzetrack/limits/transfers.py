"""Transfer of weight-store tokens between VMs.

The granting VM subtracts the tokens before it sends the grant, and the
requesting VM accepts one grant per request. A lost, late or repeated message
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
# Time after which peers that had no tokens to spare are asked again. The share
# of the rate of one VM yields about an eighth of a token in this time.
ROUND_PAUSE_MS = 250


@attrs.frozen
class Permits:
    """Blackboard section with the weight-store tokens of this VM.

    :param bucket: tokens for the loads that this VM may start
    :param number: sequence number of the latest request
    :param asked: peers that were asked in this round
    :param open_until_ms: monotonic time at which the open request times out,
        None without an open request
    :param pause_until_ms: monotonic time before which no new round begins
    """

    bucket: tokens.TokenBucket = attrs.field(factory=tokens.TokenBucket)
    number: int = 0
    asked: frozenset[str] = frozenset()
    open_until_ms: int | None = None
    pause_until_ms: int = 0

    def replace_bucket(self, bucket: tokens.TokenBucket) -> Permits:
        """Return the permits with the bucket replaced."""
        return attrs.evolve(self, bucket=bucket)

    def may_prefetch(self) -> bool:
        """Return whether a token is available for a prefetch.

        VMs that lack tokens empty the buckets of all VMs, so a bucket is full
        only if no load waits for a token at any VM.
        """
        return self.open_until_ms is None and self.bucket.tokens >= 1


@attrs.frozen
class AddressedRequest:
    """A token request and the peer to send it to."""

    peer: str
    request: messages.TokenRequest


def request_tokens(
    permits: Permits,
    vm: str,
    peers: Collection[str],
    needed: int,
    now_ms: int,
) -> tuple[Permits, AddressedRequest | None]:
    """Return the permits and the request to send now, if any.

    Peers are asked one after another, in an order that differs by VM.

    :param vm: name of this VM
    :param peers: names of the peers that may be asked
    :param needed: number of loads that could start now with enough tokens
    """
    shortfall = needed - permits.bucket.tokens
    if shortfall <= 0:
        return attrs.evolve(permits, asked=frozenset()), None
    if permits.open_until_ms is not None and now_ms < permits.open_until_ms:
        return permits, None
    if now_ms < permits.pause_until_ms:
        return permits, None
    remaining = [peer for peer in peers if peer not in permits.asked]
    if not remaining:
        paused = attrs.evolve(
            permits,
            asked=frozenset(),
            open_until_ms=None,
            pause_until_ms=now_ms + ROUND_PAUSE_MS,
        )
        return paused, None
    peer = rendezvous.rank_nodes(vm, remaining)[0]
    number = permits.number + 1
    asking = attrs.evolve(
        permits,
        number=number,
        asked=permits.asked | {peer},
        open_until_ms=now_ms + GRANT_TIMEOUT_MS,
    )
    return asking, AddressedRequest(
        peer, messages.TokenRequest(number, shortfall)
    )


def grant_tokens(
    permits: Permits, request: messages.TokenRequest, reserved: int
) -> tuple[Permits, messages.TokenGrant]:
    """Return the permits without the granted tokens, and the answer.

    A fraction of a token cannot start a load. It is granted even if this VM
    waits for the remainder of that token, provided that it completes a token
    of the requesting VM.

    :param reserved: number of loads that this VM could start itself
    """
    held = permits.bucket.tokens
    wanted = _check_tokens(request.tokens)
    granted = max(0.0, min(held - reserved, wanted))
    if held <= reserved:
        shortfall = wanted - (math.ceil(wanted) - 1)
        granted = shortfall if shortfall <= held - math.floor(held) else 0.0
    return (
        permits.replace_bucket(permits.bucket.take(granted)),
        messages.TokenGrant(request.number, granted),
    )


def accept_grant(permits: Permits, answer: messages.TokenGrant) -> Permits:
    """Return the permits with the tokens of a grant for the open request.

    Other grants are ignored. A grant that arrives after the time-out is still
    accepted if no newer request was made.
    """
    if permits.open_until_ms is None or answer.number != permits.number:
        return permits
    return attrs.evolve(
        permits,
        bucket=permits.bucket.add(_check_tokens(answer.tokens)),
        open_until_ms=None,
    )


def _check_tokens(number: float) -> float:
    """Return a peer's number of tokens, or 0 if it is no finite amount.

    Rounding an infinite number or NaN raises, which ends the daemon.
    """
    return max(0.0, number) if math.isfinite(number) else 0.0
