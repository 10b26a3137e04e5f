"""Probabilities with which the choice takes each endpoint.

The choice compares endpoints that it draws at random. Here, all that it may
draw is enumerated, so that the random generator is not used.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import itertools

from bronzetrack.entry import endpoints
from bronzetrack.entry.loads import placement

# Among more endpoints, too many pairs could be drawn to look at each while
# requests are being forwarded.
MAX_ENUMERATED = 24

Compare = Callable[[list[endpoints.Endpoint]], endpoints.Endpoint]


def measure_probabilities(
    preferred: list[endpoints.Endpoint], compare: Compare
) -> dict[str, float] | None:
    """Return the probability of each endpoint by its id.

    :param preferred: endpoints that the choice draws from
    :param compare: returns which of some drawn endpoints the choice takes
    :returns: `None` if there are too many endpoints
    """
    if len(preferred) > MAX_ENUMERATED:
        return None
    size = min(placement.DRAWN_ENDPOINTS, len(preferred))
    # Permutations, as the order decides between equal scores.
    draws = list(itertools.permutations(preferred, size)) if size else []
    chosen = collections.Counter(
        compare(list(drawn)).identity for drawn in draws
    )
    return {
        item.identity: chosen[item.identity] / len(draws) for item in preferred
    }
