"""Placement of adapters on endpoints ahead of requests."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from bronzetrack.core import rendezvous

# An adapter gets enough copies for this multiple of its share of the requests,
# so that the copies are already loaded when demand rises.
COPY_FACTOR = 3.0
# A single request in the sample is no evidence of demand.
MIN_COUNT = 2


@attrs.frozen
class Placement:
    """Holds the adapters for one endpoint and data of other endpoints.

    :param wanted: adapters to load before a request waits for them, highest
        demand first
    :param elsewhere: adapters that other endpoints have loaded
    :param paces: time between chunks in milliseconds at the other endpoints
        of the same model
    """

    wanted: tuple[str, ...] = ()
    elsewhere: frozenset[str] = frozenset()
    paces: tuple[float, ...] = ()


def count_demand(adapters: Iterable[str]) -> dict[str, float]:
    """Return the share of each adapter in a sample of recent requests."""
    counts = collections.Counter(filter(None, adapters))
    total = counts.total()
    return {
        adapter: count / total
        for adapter, count in counts.most_common()
        if count >= MIN_COUNT
    }


def list_wanted(
    endpoint: str,
    endpoints: Collection[str],
    demand: Mapping[str, float],
    elsewhere: Collection[str],
) -> tuple[str, ...]:
    """Return the adapters that an endpoint should hold, highest demand first.

    Copies go to the first endpoints in the rendezvous order of the adapter.
    Routing overflows in the same order, and all owners agree without a
    message. An adapter that needs only one copy and is loaded at another
    endpoint stays there.

    :param demand: share of the recent requests by adapter
    :param elsewhere: adapters that other endpoints have loaded
    """
    copies = {
        adapter: math.ceil(share * len(endpoints) * COPY_FACTOR)
        for adapter, share in demand.items()
    }
    return tuple(
        adapter
        for adapter, count in copies.items()
        if (count > 1 or adapter not in elsewhere)
        and endpoint in rendezvous.rank_nodes(adapter, endpoints)[:count]
    )
