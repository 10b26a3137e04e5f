"""Decisions on the admitted share of a full service without engines.

Load pattern: 58 VMs send requests to 4 endpoints of 6 slots. For some seconds,
callers send twice as many requests as the endpoints can answer. The endpoints
queue some and reject the others. Their queues stay full, so that half of the
answers are late.

All VMs see the requests in progress of all VMs, 0.3 to 0.9 s late. That is
longer than an answer takes, so that a share that follows these sums directly
swings between all and none. Each VM therefore limits the rate of its admitted
requests to its part of what the endpoints can answer, which it knows from the
time of answers in calm. The sums start and end the limit, and correct the rate
in small steps.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import random

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry.admission.shares import state as states

# Requests at an endpoint beyond this multiple of its slots do not count. One
# slow endpoint with a long queue says nothing about the others.
MAX_COUNTED_LOAD = 2.5
# Share of the time to be on time that the mean answer may take. The slowest
# answers take about twice the mean.
MEAN_ANSWER_SHARE = 0.4
# Least and most requests in progress that the limit aims at, as a multiple of
# the slots. Fewer would leave slots idle.
TARGET_LOAD_RANGE = (1.0, 1.5)
# Requests in progress beyond the target at which a limit begins, as a multiple
# of the slots. The sums of a service that keeps up vary by less.
START_MARGIN = 0.75
# Share of the throughput in calm that endpoints have when all slots are in
# use.
FULL_THROUGHPUT = 0.75
# Answers that a VM must have seen in calm before it limits requests.
MIN_ANSWERS = 3
# Rejections by this share of the endpoints within this time begin a limit
# before the sums show the overload.
REJECTING_SHARE = 0.75
REJECTION_WINDOW_S = 0.5
# Time between two corrections of the rate, which is about the time between
# two digests.
STEP_S = 0.3
# Part of the difference to the present throughput that one correction adds.
STEP_SHARE = 0.3
# Range of the throughput, as a multiple of that of slots as fast as in calm.
THROUGHPUT_RANGE = (0.25, 2.0)
# The present time of answers is not known if the last one is older.
RECENT_TTL_S = 1.5
# Shortest time of an answer that estimates assume.
MIN_ANSWER_S = 0.001
# Factor of a correction while endpoints have free slots.
FREE_STEP = 1.2
# Time in which the rate removes the difference between sum and target. It has
# to be longer than the age of the sums.
SETTLING_S = 0.8
# Range of the rate, as a multiple of its part that follows the throughput.
RATE_RANGE = (0.3, 1.5)
# A limit ends once the requests in progress were below the target, and none
# was refused, for this time.
CALM_S = 0.9
# Tokens that a request leaves to more urgent classes.
RESERVED_TOKENS = 0.5
# A class that gets a smaller share than this part of the mean share takes
# tokens before they are whole.
LEAST_CLASS_SHARE = 0.5
# A class counts as present while its decayed number of requests is this high.
PRESENT_REQUESTS = 0.5
# Retry-After of callers that can still be answered on time: its least value,
# and the part of their spare time by which the values differ.
SOON_RETURN_S = 0.02
SPREAD_SHARE = 0.25
# Spare time that a caller needs to return in time.
MIN_SPARE_S = 0.05
# Range of Retry-After of the others.
LATE_RETURN_RANGE_S = (0.5, 1.5)


@attrs.frozen
class Load:
    """Requests in progress at the endpoints of a service.

    :param requests: number of requests in progress of all VMs; those far
        beyond the slots of an endpoint do not count
    :param in_progress: number of all requests in progress
    :param slots: number of requests that the endpoints run at a time
    :param endpoints: number of usable endpoints
    :param vms: number of VMs that may be running
    """

    requests: float
    in_progress: int
    slots: int
    endpoints: int
    vms: int

    @property
    def has_free_slots(self) -> bool:
        """Whether the endpoints probably have free slots."""
        return self.requests < self.slots


def measure_load(
    candidates: Iterable[endpoints.Endpoint],
    totals: Mapping[str, int],
    vms: int,
    now: float,
) -> Load:
    """Return the load of the usable endpoints of a service.

    :param totals: requests in progress of all VMs by endpoint, from the newest
        report of a hub. The highest of several reports would be too high, as
        the endpoint with the longest queue changes between them.
    :param vms: number of VMs that may be running
    """
    usable = [item for item in candidates if item.is_usable(now)]
    counts = [totals.get(item.identity, 0) for item in usable]
    return Load(
        sum(
            min(count, MAX_COUNTED_LOAD * item.capacity)
            for count, item in zip(counts, usable)
        ),
        sum(counts),
        sum(item.capacity for item in usable),
        len(usable),
        max(1, vms),
    )


def estimate_full_throughput(share: states.ServiceShare, load: Load) -> float:
    """Return the throughput of full endpoints by the answers in calm."""
    return FULL_THROUGHPUT * load.slots / max(MIN_ANSWER_S, share.calm_s)


def estimate_throughput(
    share: states.ServiceShare, load: Load, now: float
) -> float:
    """Return the present throughput of full endpoints.

    By Little's law, it is the requests in progress / the time of an answer.
    """
    full_per_s = estimate_full_throughput(share, load)
    if now - share.recent_at > RECENT_TTL_S or not share.recent_s:
        return full_per_s
    low, high = THROUGHPUT_RANGE
    present_per_s = load.in_progress / share.recent_s
    return min(high * full_per_s, max(low * full_per_s, present_per_s))


def measure_target(
    share: states.ServiceShare, load: Load, target_s: float
) -> float:
    """Return the number of requests in progress that a limit aims at.

    Callers need answers on time: by Little's law, the mean answer takes the
    requests in progress / the throughput.

    :param target_s: time within which an answer is on time
    """
    low, high = TARGET_LOAD_RANGE
    full_per_s = estimate_full_throughput(share, load)
    wanted = full_per_s * MEAN_ANSWER_SHARE * target_s
    return min(high * load.slots, max(low * load.slots, wanted))


def update(
    share: states.ServiceShare,
    load: Load | None,
    target_s: float,
    now: float,
) -> None:
    """Begin, correct or end the limit of a service.

    :param load: `None` if the sums of other VMs are not known
    :param target_s: time within which an answer is on time
    """
    if load is None or not load.slots or share.answers < MIN_ANSWERS:
        share.limit = None
        return
    target = measure_target(share, load, target_s)
    limit = share.limit
    if limit is None:
        _begin(share, load, target, now)
        return
    if load.requests >= target:
        limit.full_at = now
    if now - limit.full_at > CALM_S:
        share.limit = None
        return
    steps = int((now - limit.stepped_at) / STEP_S)
    if steps:
        limit.stepped_at += steps * STEP_S
        _correct(share, limit, load, target, now)


def _begin(
    share: states.ServiceShare, load: Load, target: float, now: float
) -> None:
    """Begin a limit if the service is overloaded."""
    share.rate.rate_per_s = estimate_full_throughput(share, load) / load.vms
    share.rate.refill(now)
    is_full = load.requests > target + START_MARGIN * load.slots
    if not is_full and not _is_rejecting(share, load, now):
        return
    excess = max(0.0, load.in_progress - target) / load.vms
    share.rate.charge(excess)
    share.limit = states.Limit(share.rate.rate_per_s, now, now, now, now)


def _correct(
    share: states.ServiceShare,
    limit: states.Limit,
    load: Load,
    target: float,
    now: float,
) -> None:
    """Correct the rate of a limit by a step.

    :param target: number of requests in progress that it aims at
    """
    if load.requests < target:
        limit.base_per_s *= min(FREE_STEP, target / max(1.0, load.requests))
    else:
        wanted = estimate_throughput(share, load, now) / load.vms
        limit.base_per_s += STEP_SHARE * (wanted - limit.base_per_s)
    excess_per_s = (target - load.in_progress) / SETTLING_S / load.vms
    low, high = RATE_RANGE
    share.rate.rate_per_s = min(
        high * limit.base_per_s,
        max(low * limit.base_per_s, limit.base_per_s + excess_per_s),
    )


def _is_rejecting(share: states.ServiceShare, load: Load, now: float) -> bool:
    """Return whether most endpoints rejected requests a moment ago."""
    recent = sum(
        now - at < REJECTION_WINDOW_S for at in share.full_at.values()
    )
    return recent >= max(2, REJECTING_SHARE * load.endpoints)


def admit(
    share: states.ServiceShare, priority: int, returned: bool, now: float
) -> bool:
    """Return whether to admit a request, and count it.

    :param priority: priority of the request, 0 is the most urgent
    :param returned: whether the caller was probably refused before
    """
    key = (priority, returned)
    demand = share.find_class(key)
    needed = _count_needed(share, key, demand, now)
    admitted = share.rate.take(needed, share.limit is not None, now)
    demand.record(admitted, now)
    share.demand.record(admitted, now)
    if share.limit is not None and not admitted:
        share.limit.refused += 1
        share.limit.full_at = now
    return admitted


def _count_needed(
    share: states.ServiceShare,
    key: tuple[int, bool],
    demand: states.Demand,
    now: float,
) -> float:
    """Return how many tokens must be there to admit a request of a class."""
    if share.limit is None or not _has_more_urgent(share, key, now):
        return 1.0
    least = LEAST_CLASS_SHARE * share.demand.measure_share(now)
    is_starved = demand.measure_share(now) < least
    return 0.0 if is_starved else 1.0 + RESERVED_TOKENS


def _has_more_urgent(
    share: states.ServiceShare, key: tuple[int, bool], now: float
) -> bool:
    """Return whether requests of a more urgent class arrived lately."""
    return any(
        other < key and demand.offered.measure(now) >= PRESENT_REQUESTS
        for other, demand in share.by_class.items()
    )


def choose_retry_after(
    waited_s: float, target_s: float, generator: random.Random
) -> float:
    """Return after how many seconds a refused caller should return.

    Callers return only once. While the answer to the second attempt can be on
    time, they return soon. Later, it is late anyway, and they return after the
    overload if they can. The values are spread, so that callers refused at one
    moment do not return at one moment.

    :param waited_s: time since the arrival of the request
    :param target_s: time within which its answer is on time
    """
    spare_s = (1 - MEAN_ANSWER_SHARE) * target_s - waited_s
    if spare_s < MIN_SPARE_S:
        return generator.uniform(*LATE_RETURN_RANGE_S)
    return generator.uniform(
        SOON_RETURN_S, SOON_RETURN_S + SPREAD_SHARE * spare_s
    )
