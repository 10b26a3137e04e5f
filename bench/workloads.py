"""Sizes, rules and arrivals of the two members."""

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
# Popularity follows a power law with this exponent. Requests for adapters
# that no engine has loaded then take about half of the store's rate; at 1.4
# they alone exceed it, and every policy refuses work.
SKEW = 1.5
MOVED_ADAPTERS = 12
TOTALS = tuple(
    itertools.accumulate((rank + 1) ** -SKEW for rank in range(ADAPTERS))
)
MEMBERS = {"north": 3.0, "south": 2.0, "west": 1.0}


@attrs.frozen
class Kind:
    """One kind of request.

    :param rate_per_s: arrivals outside the crest
    :param prompt: work until the first token, in tokens
    :param output: mean number of tokens
    :param crest: factor on the rate during a crest
    :param limit_ms: time to the first token that still counts as good
    """

    work_class: str
    rate_per_s: float
    prompt: int
    output: int
    crest: float
    limit_ms: int


@attrs.frozen
class Workload:
    """What one member runs and asks for.

    :param loads_per_s: rate of the weight store
    :param burst: loads that the store starts at once
    :param store_limit: loads in flight above which the store slows down
    :param crests: start and end of each swing, in milliseconds
    :param moved_ms: when popularity shifts
    """

    name: str
    engines: int
    adapter_slots: int
    loads_per_s: float
    burst: int
    store_limit: int
    kinds: tuple[Kind, ...]
    classes: dict[str, rule_sets.ClassRule]
    crests: tuple[tuple[int, int], ...]
    duration_ms: int = 24_000
    moved_ms: int = 6_000

    def list_endpoints(self) -> dict[str, inventories.Endpoint]:
        """Return the model servers, spread over the zones."""
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

    def is_crest(self, at_ms: float) -> bool:
        """Return whether a time lies within a crest."""
        return any(start <= at_ms < end for start, end in self.crests)


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
    crests=((10_000, 15_000),),
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
    crests=((10_000, 13_000), (16_000, 19_000)),
)

WORKLOADS = {item.name: item for item in (TRUST, PAPYROS)}


def make_arrivals(
    workload: Workload, seed: int, crowded: bool = False
) -> list[Arrival]:
    """Return the arrivals of one run in order of time.

    :param crowded: whether every member asks for more than its share
    """
    chance = random.Random(f"{workload.name}-{seed}")
    before = list_names(workload, seed)
    after = list(before)
    for _ in range(MOVED_ADAPTERS):
        here, there = chance.randrange(60), chance.randrange(300, ADAPTERS)
        after[here], after[there] = after[there], after[here]
    times = sorted(
        (at_ms, index)
        for index, kind in enumerate(workload.kinds)
        for at_ms in _list_times(workload, kind, chance, crowded)
    )
    members = list(MEMBERS)
    arrivals = []
    for number, (at_ms, index) in enumerate(times):
        names = before if at_ms < workload.moved_ms else after
        rank = draw_ranks(chance, 1)[0]
        kind = workload.kinds[index]
        output = max(2, round(kind.output * chance.uniform(0.6, 1.4)))
        # An adapter belongs to one member.
        member = members[rank % len(members)]
        if crowded:
            member = chance.choice(members)
        arrivals.append(
            Arrival(number, at_ms, kind, member, names[rank], output)
        )
    return arrivals


def list_names(workload: Workload, seed: int) -> list[str]:
    """Return the adapters from the most to the least popular."""
    names = [f"adapter-{index}@1" for index in range(ADAPTERS)]
    random.Random(f"names-{workload.name}-{seed}").shuffle(names)
    return names


def list_members(workload: Workload, seed: int) -> dict[str, str]:
    """Return the member of each adapter before popularity shifts."""
    return dict(
        zip(list_names(workload, seed), itertools.cycle(MEMBERS), strict=False)
    )


def draw_ranks(chance: random.Random, count: int) -> list[int]:
    """Return random places in the order of popularity."""
    return chance.choices(range(ADAPTERS), cum_weights=TOTALS, k=count)


def _list_times(
    workload: Workload, kind: Kind, chance: random.Random, crowded: bool
) -> Iterator[float]:
    at_ms = 0.0
    while True:
        factor = kind.crest if workload.is_crest(at_ms) else 1.0
        if crowded:
            factor = 4.0
        at_ms += chance.expovariate(kind.rate_per_s * factor) * 1000
        if at_ms >= workload.duration_ms:
            return
        yield at_ms
