"""Which adapters an endpoint should hold before anyone waits for them."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from bronzetrack.core import rendezvous

# An adapter gets as many copies as carry this multiple of its part of the
# requests, so that a swing in demand finds them loaded.
COPY_FACTOR = 3.0
# One request in the sample says nothing about demand.
LEAST_COUNT = 2


@attrs.frozen
class Placement:
    """What one endpoint should hold, and what others hold.

    :param wanted: adapters to load before anyone waits for them, most in
        demand first
    :param elsewhere: adapters that other endpoints have loaded
    :param paces: time between chunks at the other endpoints of the model
    """

    wanted: tuple[str, ...] = ()
    elsewhere: frozenset[str] = frozenset()
    paces: tuple[float, ...] = ()


def count_demand(adapters: Iterable[str]) -> dict[str, float]:
    """Return the part of each adapter in a sample of recent requests."""
    counts = collections.Counter(filter(None, adapters))
    total = counts.total()
    return {
        adapter: count / total
        for adapter, count in counts.most_common()
        if count >= LEAST_COUNT
    }


def list_wanted(
    endpoint: str,
    endpoints: Collection[str],
    demand: Mapping[str, float],
    elsewhere: Collection[str],
) -> tuple[str, ...]:
    """Return the adapters to hold at an endpoint, most in demand first.

    Copies go to the first endpoints in the rendezvous order of the adapter,
    which is also the order in which routing overflows, so that all owners
    agree without a message. An adapter that needs one copy stays where it is.

    :param demand: part of the recent requests by adapter
    :param elsewhere: adapters that other endpoints have loaded
    """
    copies = {
        adapter: math.ceil(part * len(endpoints) * COPY_FACTOR)
        for adapter, part in demand.items()
    }
    return tuple(
        adapter
        for adapter, count in copies.items()
        if (count > 1 or adapter not in elsewhere)
        and endpoint in rendezvous.rank_nodes(adapter, endpoints)[:count]
    )
