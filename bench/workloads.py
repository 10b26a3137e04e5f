"""Sizes, rules and arrivals of the two workloads."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import random

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets

ADAPTERS = 3_000
VMS = 7
ZONES = ("a", "b", "c")
ENGINE_SLOTS = 16
# Exponent of the power law of adapter popularity. At 1.5, requests for
# adapters that no engine has loaded use about half of the rate of the weight
# store; at 1.4 they alone exceed that rate, and every policy refuses work.
POPULARITY_EXPONENT = 1.5
SWAPPED_ADAPTERS = 12
CUMULATIVE_WEIGHTS = tuple(
    itertools.accumulate(
        (rank + 1) ** -POPULARITY_EXPONENT for rank in range(ADAPTERS)
    )
)
MEMBERS = {"north": 3.0, "south": 2.0, "west": 1.0}


@attrs.frozen
class Kind:
    """One kind of request.

    :param rate_per_s: rate of arrivals outside load peaks
    :param prompt: work until the first token, in tokens
    :param output: mean number of output tokens
    :param peak_factor: factor on the rate during load peaks
    :param limit_ms: longest time to the first token that counts as good
    """

    work_class: str
    rate_per_s: float
    prompt: int
    output: int
    peak_factor: float
    limit_ms: int


@attrs.frozen
class Workload:
    """The engines, the weight store and the requests of one simulated site.

    :param loads_per_s: rate of the weight store
    :param burst: loads that the weight store starts at once
    :param store_limit: loads in flight above which the store slows down
    :param peaks: start and end of each load peak, in milliseconds
    :param shift_ms: time at which the popularity of adapters shifts
    """

    name: str
    engines: int
    adapter_slots: int
    loads_per_s: float
    burst: int
    store_limit: int
    kinds: tuple[Kind, ...]
    classes: dict[str, rule_sets.ClassRule]
    peaks: tuple[tuple[int, int], ...]
    duration_ms: int = 24_000
    shift_ms: int = 6_000

    def list_endpoints(self) -> dict[str, inventories.Endpoint]:
        """Return the engines, spread over the availability zones."""
        return {
            f"engine-{index}": inventories.Endpoint(
                "127.0.0.1",
                9_000 + index,
                ZONES[index % len(ZONES)],
                slots=ENGINE_SLOTS,
                adapter_slots=self.adapter_slots,
            )
            for index in range(self.engines)
        }

    def is_peak(self, at_ms: float) -> bool:
        """Return whether a time lies within a load peak."""
        return any(start <= at_ms < end for start, end in self.peaks)


@attrs.frozen
class Arrival:
    """A request as a caller sends it."""

    number: int
    at_ms: float
    kind: Kind
    member: str
    adapter: str
    output: int

    @property
    def cost(self) -> int:
        return self.kind.prompt + self.output


TRUST = Workload(
    name="trust",
    engines=6,
    adapter_slots=32,
    loads_per_s=4.0,
    burst=2,
    store_limit=16,
    kinds=(
        Kind("duty", 14.0, 6, 14, 2.6, 2_000),
        Kind("tablet", 22.0, 6, 14, 2.6, 4_000),
        Kind("review", 3.0, 40, 420, 1.0, 20_000),
    ),
    classes={
        "duty": rule_sets.ClassRule(0, 1.0, 5_000),
        "tablet": rule_sets.ClassRule(1, 1.0, 8_000),
        "review": rule_sets.ClassRule(2, 0.5, 30_000),
    },
    peaks=((10_000, 15_000),),
)

PAPYROS = Workload(
    name="papyros",
    engines=9,
    adapter_slots=32,
    loads_per_s=7.0,
    burst=3,
    store_limit=24,
    kinds=(
        Kind("checkin", 50.0, 4, 10, 5.0, 1_000),
        Kind("changelog", 12.0, 20, 60, 1.5, 4_000),
        Kind("triage", 3.0, 60, 300, 1.0, 20_000),
    ),
    classes={
        "checkin": rule_sets.ClassRule(0, 1.0, 3_000),
        "changelog": rule_sets.ClassRule(1, 0.75, 8_000),
        "triage": rule_sets.ClassRule(2, 0.5, 30_000),
    },
    peaks=((10_000, 13_000), (16_000, 19_000)),
)

WORKLOADS = {item.name: item for item in (TRUST, PAPYROS)}


def make_arrivals(
    workload: Workload, seed: int, crowded: bool = False
) -> list[Arrival]:
    """Return the arrivals of one run in order of time.

    :param crowded: whether every member requests more than its share
    """
    rng = random.Random(f"{workload.name}-{seed}")
    before = list_names(workload, seed)
    after = list(before)
    for _ in range(SWAPPED_ADAPTERS):
        popular, unpopular = rng.randrange(60), rng.randrange(300, ADAPTERS)
        after[popular], after[unpopular] = after[unpopular], after[popular]
    times = sorted(
        (at_ms, index)
        for index, kind in enumerate(workload.kinds)
        for at_ms in _list_times(workload, kind, rng, crowded)
    )
    members = list(MEMBERS)
    arrivals = []
    for number, (at_ms, index) in enumerate(times):
        names = before if at_ms < workload.shift_ms else after
        rank = draw_ranks(rng, 1)[0]
        kind = workload.kinds[index]
        output = max(2, round(kind.output * rng.uniform(0.6, 1.4)))
        # Each adapter belongs to one member; its rank determines which.
        member = members[rank % len(members)]
        if crowded:
            member = rng.choice(members)
        arrivals.append(
            Arrival(number, at_ms, kind, member, names[rank], output)
        )
    return arrivals


def list_names(workload: Workload, seed: int) -> list[str]:
    """Return the adapters in order of popularity, the most popular first."""
    names = [f"adapter-{index}@1" for index in range(ADAPTERS)]
    random.Random(f"names-{workload.name}-{seed}").shuffle(names)
    return names


def list_members(workload: Workload, seed: int) -> dict[str, str]:
    """Return the member of each adapter before popularity shifts."""
    return dict(
        zip(list_names(workload, seed), itertools.cycle(MEMBERS), strict=False)
    )


def draw_ranks(rng: random.Random, count: int) -> list[int]:
    """Return random ranks in the order of popularity, weighted by it."""
    return rng.choices(
        range(ADAPTERS), cum_weights=CUMULATIVE_WEIGHTS, k=count
    )


def _list_times(
    workload: Workload, kind: Kind, rng: random.Random, crowded: bool
) -> Iterator[float]:
    at_ms = 0.0
    while True:
        factor = kind.peak_factor if workload.is_peak(at_ms) else 1.0
        if crowded:
            factor = 4.0
        at_ms += rng.expovariate(kind.rate_per_s * factor) * 1000
        if at_ms >= workload.duration_ms:
            return
        yield at_ms
