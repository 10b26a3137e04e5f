"""Order in which the holder of the lease serves demands for adapters."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry.copies import numbers
from bronzetrack.entry.loads import loading
from bronzetrack.entry.loads import loadstate

# A waiting request repeats its load request at intervals of at least 0.15 s,
# when it looks for an endpoint. Within this time, each one does so about once.
REPEAT_S = 0.2
# A demand that waits for longer than this counts like several requests.
LONG_WAIT_S = 1.0
LONG_WAIT_REQUESTS = 10
# Of so many loads, one is for the demand that has waited longest, so that a
# late demand does not wait as long as others can still be met on time.
LOADS_PER_OLDEST = 8
# Copies that VMs asked for longer ago than this are no longer needed. VMs
# repeat the number with each request while it is needed.
ASKED_TTL_S = 0.5
# Time after which the counts show the effect of further copies: a load and the
# age of the counts. Until then, the copies that were granted are the limit.
REACTION_S = 1.2


@attrs.frozen(eq=False)
class FleetLoad:
    """Requests of all VMs, as the holder of the lease knows them.

    :param active: requests in progress by engine
    :param uses: number of VMs that use each adapter, by engine and adapter
    :param vms: number of VMs
    """

    active: Mapping[str, int]
    uses: Mapping[tuple[str, endpoints.ModelKey], int]
    vms: int

    def measure_excess(
        self, endpoint: endpoints.Endpoint, model_key: endpoints.ModelKey
    ) -> float:
        """Return the requests of an adapter that are beyond the target.

        Requests of all adapters fill an engine; those beyond the target are
        divided in proportion to the requests for each adapter.
        """
        active = self.active.get(endpoint.identity, 0)
        beyond = active - numbers.TARGET_SHARE * endpoint.capacity
        return max(0.0, beyond) * self._measure_part(endpoint, model_key)

    def estimate_requests(
        self, endpoint: endpoints.Endpoint, model_key: endpoints.ModelKey
    ) -> float:
        """Return the likely number of requests for an adapter at an engine.

        VMs report which adapters they use, without the number of requests.
        Where requests arrive at random VMs, some have several. If all VMs use
        an adapter, the number may be any.
        """
        users = self.uses.get((endpoint.identity, model_key), 0)
        if users >= self.vms:
            return math.inf
        return self.vms * math.log(self.vms / (self.vms - users))

    def _measure_part(
        self, endpoint: endpoints.Endpoint, model_key: endpoints.ModelKey
    ) -> float:
        """Return the part of an engine's requests that is for an adapter.

        :returns: 1 if no use is known, as just after a change of the lease
        """
        own = self.estimate_requests(endpoint, model_key)
        total = sum(
            self.estimate_requests(endpoint, key) for key in endpoint.adapters
        )
        if not total or math.isinf(own):
            return 1.0
        return own / total


@attrs.frozen(eq=False)
class RankedDemand:
    """A demand with what its place in the order depends on.

    :param holders: engines that hold the adapter or are loading it
    :param copies: number of engines that should hold the adapter
    :param waiting: requests that the demand stands for
    """

    demand: loadstate.Demand
    holders: list[endpoints.Endpoint]
    copies: int
    waiting: float = 0.0

    @property
    def is_hot(self) -> bool:
        """Whether requests are beyond the target at the present holders."""
        return bool(self.holders) and self.waiting >= 1


def rank_demand(
    demand: loadstate.Demand,
    candidates: list[endpoints.Endpoint],
    state: loadstate.LoadingState,
    fleet_load: FleetLoad,
    now: float,
) -> RankedDemand:
    """Return a demand with its number of copies and of requests.

    :param candidates: engines of the service
    """
    holders = loading.list_holders(candidates, demand, state, now)
    announced = [
        item
        for item in holders
        if state.get_or_create_engine(item).is_loaded(demand.model_key)
    ]
    if announced:
        waiting = sum(
            fleet_load.measure_excess(item, demand.model_key)
            for item in announced
        )
        copies = _limit_copies(demand, announced, fleet_load, now)
        granted = state.granted.get(demand.model_key)
        if granted is not None and now - granted.at < REACTION_S:
            copies = min(copies, granted.copies)
    else:
        waiting = float(demand.count_recent(now - REPEAT_S))
        copies = _count_first_copies(demand, holders, waiting)
    if now - demand.since > LONG_WAIT_S:
        waiting = max(waiting, LONG_WAIT_REQUESTS)
    return RankedDemand(demand, holders, copies, waiting)


def _limit_copies(
    demand: loadstate.Demand,
    announced: list[endpoints.Endpoint],
    fleet_load: FleetLoad,
    now: float,
) -> int:
    """Return the number of copies of an adapter that engines hold.

    A VM only sees how many requests an engine has, and asks for copies of each
    adapter of a full engine. The use of the adapter limits its number, with
    room for one step, since requests that are rejected count as no use.
    """
    asked = demand.find_most_copies(now - ASKED_TTL_S)
    if asked <= 2:
        return asked
    capacity = max(1, *(item.capacity for item in announced))
    found = sum(
        fleet_load.estimate_requests(item, demand.model_key)
        for item in announced
    )
    if math.isinf(found):
        return asked
    needed = math.ceil(found / (numbers.TARGET_SHARE * capacity))
    return min(asked, max(2, numbers.MAX_GROWTH_FACTOR * needed))


def _count_first_copies(
    demand: loadstate.Demand,
    holders: list[endpoints.Endpoint],
    waiting: float,
) -> int:
    """Return the number of copies of an adapter that is not yet available.

    Load pattern: no engine holds a new version of a hot adapter. All requests
    that wait for the first copy would be sent to its engine at once.
    """
    if not holders:
        return 1
    capacity = max(1, *(item.capacity for item in holders))
    needed = math.ceil(waiting / (numbers.TARGET_SHARE * capacity))
    return max(1, min(needed, numbers.limit_step(len(holders))))


def sort_demands(
    ranked: Iterable[RankedDemand],
    first_event_delay_s: float,
    loads: int,
    now: float,
) -> list[RankedDemand]:
    """Return demands in the order in which they are served.

    Load pattern: hundreds of adapters are asked for by one request each, while
    most requests are for a hot adapter that has too few copies. Demands that
    can still be met on time come first. Among them, and among the late ones,
    those of the most requests come first, the most urgent first if equal.

    :param first_event_delay_s: time from an order to the first event
    :param loads: number of loads so far
    """
    soonest = now + first_event_delay_s
    ordered = sorted(
        ranked,
        key=lambda item: (
            item.demand.deadline < soonest,
            -item.waiting,
            abs(item.demand.deadline - soonest),
        ),
    )
    if ordered and loads % LOADS_PER_OLDEST == LOADS_PER_OLDEST - 1:
        oldest = min(ordered, key=lambda item: item.demand.since)
        rest = (item for item in ordered if item is not oldest)
        return list(itertools.chain([oldest], rest))
    return ordered
