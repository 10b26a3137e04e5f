"""Measures the processor time of a choice of an endpoint."""

from __future__ import annotations

import argparse
from collections.abc import Callable
import random
import time
import tracemalloc

from bronzetrack.entry import endpoints
from bronzetrack.entry import messages
from bronzetrack.entry.costs import choice
from bronzetrack.entry.costs import estimates
from bronzetrack.entry.costs import learning
from bronzetrack.entry.costs import parts
from bronzetrack.entry.costs import state as states
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.forwarding import traffic as traffic_tables
from bronzetrack.entry.loads import placement
from bronzetrack.entry.peering import digests

NOW = 1_000.0
ROUNDS = 5
SLOTS = 12


def measure(name: str, action: Callable[[], object], count: int) -> None:
    """Print the time of an action, the least of several rounds."""
    times = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        for _ in range(count):
            action()
        times.append((time.process_time() - started_at) / count)
    print(f"{name}: {1e6 * min(times):.1f} us")


def measure_memory(count: int) -> float:
    """Return the memory of costs whose tables are full, in KiB.

    :param count: number of engines
    """
    tracemalloc.start()
    state = states.CostState()
    for engine in range(count):
        identity = f"e{engine}"
        state.get_or_create("s").record_speed(identity, 1.0, NOW)
        for number in range(parts.MAX_PARTS):
            chain = parts.make_chain(("m", "a"), [(f"{engine}/{number}", 1)])
            state.kept.record(identity, f"{identity}/1", chain, 10**9)
    for number in range(states.MAX_ADAPTERS):
        state.record_length("r", f"a{number}", 1.0, NOW)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def main() -> None:
    """Measure choices, learning and messages."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--endpoints", type=int, default=45)
    parser.add_argument("--count", type=int, default=3_000)
    options = parser.parse_args()
    found = [
        endpoints.Endpoint(f"i-{n:010}", "s", "h:1", "z", SLOTS)
        for n in range(options.endpoints)
    ]
    active = {item.identity: 5 for item in found}
    work_ms = {item.identity: 150.0 for item in found}
    state = states.CostState()
    balancing = placement.BalancingInput(
        traffic_tables.TrafficTable(), active, "z", NOW, vms=58
    )
    cost_input = choice.CostInput(
        balancing, work_ms, state, state.get_or_create("s")
    )
    generator = random.Random(1)
    for name, shared in (("short prompt", 155), ("long prompt", 6_300)):
        request = requests.Request(
            *("r", b"POST", b"/p", "h", b"h", "/p", [], b"", NOW, NOW + 5),
            model="m",
            adapter="a",
            prompt_tokens=shared + 491,
            length_hint=70,
            prompt_parts=(("x", shared), ("own", 491)),
        )
        chosen = choice.choose_endpoint(
            found,
            frozenset(),
            estimates.describe_request(request, state, NOW),
            cost_input,
            generator,
        )
        answer = learning.Answer(
            *(chosen, "r", ("m", "a"), request.prompt_parts, 170_000),
            *(70, True, 50.0, 320.0, 10),
        )
        for _ in range(50):
            learning.learn(state, "s", answer, NOW)
        measure(
            f"{name}, by cost",
            lambda: choice.choose_endpoint(
                found,
                frozenset(),
                estimates.describe_request(request, state, NOW),
                cost_input,
                generator,
            ),
            options.count,
        )
        measure(
            f"{name}, learning from the answer",
            lambda: learning.learn(state, "s", answer, NOW),
            options.count,
        )
    measure(
        "choice by count",
        lambda: placement.choose_endpoint(
            found, frozenset(), balancing, generator
        ),
        options.count,
    )
    totals = digests.encode_counts(active)
    data = digests.encode_work(active, work_ms)
    names = list(active)
    measure(
        "work in a load digest, decoded",
        lambda: digests.decode_work(data, totals, names),
        options.count,
    )
    fields = ("vm-1", "10.0.0.1:80", "z", True, False, 3, "vm-2", False)
    units = digests.list_work(dict.fromkeys(names[:5], 1), work_ms)
    plain = messages.Heartbeat(*fields, dict.fromkeys(names[:5], 1))
    costed = messages.Heartbeat(*fields, plain.active, units)
    sizes = [len(messages.encode(item)) for item in (plain, costed)]
    print(f"heartbeat with 5 endpoints: {sizes[0]}, by cost {sizes[1]} bytes")
    print(f"memory of full tables: {measure_memory(len(found)):.0f} KiB")
    print(f"load digest: {len(totals)} bytes of counts, work {len(data)}")


if __name__ == "__main__":
    main()
