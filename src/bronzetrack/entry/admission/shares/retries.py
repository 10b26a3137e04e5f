"""Decision on a request that a full endpoint without engine rejected.

Load pattern: one endpoint of four is slow and its queue is full, while the
others have free slots. Or all of them are full: a request that is sent again
then takes a retry from the budget and is rejected again.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import random

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry.admission.shares import control
from bronzetrack.entry.admission.shares import state as states
from bronzetrack.entry.loads import placement

# An endpoint that rejected a request this recently has no room.
FULL_S = 0.2
# Load up to which an endpoint is believed to have room.
ROOM_LOAD = 1.5
# Pause before a request is sent again while all endpoints are full.
FULL_PAUSE_S = 0.05


@attrs.frozen
class Verdict:
    """What to do with a rejected request.

    :param may_retry: whether to send it again, if the retry budget allows it
    :param pause_s: time until then
    :param retry_after_s: when the caller should return if it is refused
    """

    may_retry: bool
    pause_s: float
    retry_after_s: float


def judge_rejection(
    share: states.ServiceShare,
    candidates: Iterable[endpoints.Endpoint],
    tried: frozenset[str],
    balancing_input: placement.BalancingInput,
    waited_s: float,
    target_s: float,
    generator: random.Random = placement.DEFAULT_GENERATOR,
) -> Verdict:
    """Return what to do with a rejected request.

    It is sent to another endpoint at once if one has room. If all are full, it
    is sent again only if the answer is probably on time.

    :param tried: ids of the endpoints that were already tried
    :param waited_s: time since the arrival of the request
    :param target_s: time within which its answer is on time
    """
    retry_after_s = control.choose_retry_after(waited_s, target_s, generator)
    if has_room(share, candidates, tried, balancing_input):
        return Verdict(True, 0.0, retry_after_s)
    may_retry = may_be_on_time(share, waited_s + FULL_PAUSE_S, target_s)
    return Verdict(may_retry, FULL_PAUSE_S, retry_after_s)


def has_room(
    share: states.ServiceShare,
    candidates: Iterable[endpoints.Endpoint],
    tried: frozenset[str],
    balancing_input: placement.BalancingInput,
) -> bool:
    """Return whether an endpoint that was not tried probably has room.

    :param tried: ids of the endpoints that were already tried
    """
    now = balancing_input.now
    return any(
        item.is_usable(now)
        and item.identity not in tried
        and balancing_input.is_reachable(item)
        and now - share.full_at.get(item.identity, -math.inf) > FULL_S
        and balancing_input.count_active(item) < ROOM_LOAD * item.capacity
        for item in candidates
    )


def may_be_on_time(
    share: states.ServiceShare, waited_s: float, target_s: float
) -> bool:
    """Return whether an answer to a request sent now is probably on time.

    :param waited_s: time since the arrival of the request
    """
    return waited_s + share.recent_s <= target_s
