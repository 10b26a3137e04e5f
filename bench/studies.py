"""Measurements that the default run does not include."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import itertools
import statistics

import attrs

from bench import fakes
from bench import measures
from bench import oracle
from bench import simulation
from bench import site as sites
from bench import workloads
from bronzetrack.core import registry

Study = Callable[[futures.Executor, list[str], range], Iterator[str]]

STUDIES: registry.Registry[Study] = registry.Registry("studies")

LOADS = (0.8, 1.0, 1.25, 1.5, 2.0)
OVERLOAD_POLICIES = ("oracle", "round_robin", "least_load", sites.OWN_POLICY)
STEADY_PERIODS = ((4_000, 24_000),)
QUOTAS = (simulation.NO_QUOTA, 64, 48, 32, 16)
RESTART_MS = 11_000
BIN_MS = 1_000
# The effect of a restart counts as over once the extra stalls per second are
# at most this fraction of the usual ones.
RECOVERED_FRACTION = 0.1


@STUDIES.register("overload")
def study_overload(
    pool: futures.Executor, names: list[str], seeds: range
) -> Iterator[str]:
    """Measure goodput under steady loads around the engines' capacity."""
    runs = list(itertools.product(names, OVERLOAD_POLICIES, LOADS, seeds))
    results = dict(zip(runs, pool.map(run_overload, *zip(*runs))))
    for name, policy in itertools.product(names, OVERLOAD_POLICIES):
        yield f"{name} {policy}"
        for load in LOADS:
            figures = [results[name, policy, load, seed] for seed in seeds]
            yield f"  {load:4} x capacity: {_format(figures)}"


def run_overload(
    name: str, policy: str, load: float, seed: int
) -> dict[str, float]:
    """Return the goodput at a load that is a multiple of the capacity.

    The capacity is the token rate of full batches.
    """
    base = workloads.WORKLOADS[name]
    full_ms = (
        fakes.TOKEN_BASE_MS
        + fakes.TOKEN_PER_REQUEST_MS * workloads.ENGINE_SLOTS
    )
    capacity = base.engines * workloads.ENGINE_SLOTS * 1000 / full_ms
    offered = sum(
        kind.rate_per_s * (kind.prompt + kind.output) for kind in base.kinds
    )
    kinds = tuple(
        attrs.evolve(
            kind,
            rate_per_s=kind.rate_per_s * load * capacity / offered,
            peak_factor=1.0,
        )
        for kind in base.kinds
    )
    workload = attrs.evolve(base, kinds=kinds, peaks=STEADY_PERIODS)
    arrivals = workloads.make_arrivals(workload, seed)
    if policy == "oracle":
        run = oracle.run_oracle(workload, arrivals, seed)
    else:
        run = simulation.make_site(workload, policy, arrivals, seed)
    run.run()
    figures = measures.measure_load(run)
    return {
        "good_per_s": figures["crest_goodput_per_s"],
        "good_tokens_per_s": measures.measure_good_cost(run),
        "short_wait_p99_ms": figures["short_wait_p99_ms"],
        "refused_per_1000": sum(bool(item.refusal) for item in run.outcomes)
        * 1000
        / len(arrivals),
    }


@STUDIES.register("restart")
def study_restart(
    pool: futures.Executor, names: list[str], seeds: range
) -> Iterator[str]:
    """Measure stalls after an engine restarts empty during a load peak.

    The restart happens one second into the first peak.
    """
    runs = list(itertools.product(names, (False, True), seeds))
    results = dict(zip(runs, pool.map(run_restart, *zip(*runs))))
    for name in names:
        usual, after = (
            [
                statistics.mean(values)
                for values in zip(
                    *(results[name, restarted, seed] for seed in seeds)
                )
            ]
            for restarted in (False, True)
        )
        extra = [more - less for less, more in zip(usual, after)]
        yield f"{name}: stalls by second of arrival, mean of the seeds"
        yield "  usual " + " ".join(f"{value:5.1f}" for value in usual)
        yield "  extra " + " ".join(f"{value:5.1f}" for value in extra)
        yield f"  extra in all {sum(extra):.1f}, back to normal after " + (
            f"{_find_recovery(usual, extra)} s"
        )


def run_restart(name: str, restarted: bool, seed: int) -> list[int]:
    """Return the number of stalled requests by second of arrival."""
    workload = workloads.WORKLOADS[name]
    arrivals = workloads.make_arrivals(workload, seed)
    run = simulation.make_site(workload, sites.OWN_POLICY, arrivals, seed)
    if restarted:
        run.timeline.call_at(
            RESTART_MS, lambda: simulation.restart(run, "engine-0")
        )
    run.run()
    stalls = [0] * (workload.duration_ms // BIN_MS)
    for item in run.outcomes:
        if item.stalled_ms is not None:
            stalls[int(item.arrival.at_ms // BIN_MS)] += 1
    return stalls


def _find_recovery(usual: list[float], extra: list[float]) -> int:
    """Return the seconds until the stalls are back to normal and stay so.

    The stalls are averaged over three seconds.
    """
    start = RESTART_MS // BIN_MS
    limit = RECOVERED_FRACTION * statistics.mean(usual[start:])
    unrecovered = [
        second
        for second in range(start, len(extra) - 2)
        if statistics.mean(extra[second : second + 3]) > limit
    ]
    return max(unrecovered, default=start - 1) + 1 - start


@STUDIES.register("quotas")
def study_quotas(
    pool: futures.Executor, names: list[str], seeds: range
) -> Iterator[str]:
    """Measure stalls and refusals when every member has the same quota."""
    runs = list(itertools.product(names, QUOTAS, seeds))
    results = dict(zip(runs, pool.map(run_quota, *zip(*runs))))
    for name in names:
        yield name
        for quota in QUOTAS:
            figures = [results[name, quota, seed] for seed in seeds]
            yield f"  {quota:6} a member: {_format(figures)}"


def run_quota(name: str, quota: int, seed: int) -> dict[str, float]:
    """Return the measurements of a run with load peaks under a warm quota."""
    workload = workloads.WORKLOADS[name]
    arrivals = workloads.make_arrivals(workload, seed)
    run = simulation.make_site(
        workload, sites.OWN_POLICY, arrivals, seed, warm_adapters=quota
    )
    run.run()
    figures = measures.measure_load(run)
    return {
        "stalls_per_1000": figures["stalls_per_1000"],
        "stall_s_per_1000": figures["stall_s_per_1000"],
        "crest_goodput_per_s": figures["crest_goodput_per_s"],
        "refused": sum(bool(item.refusal) for item in run.outcomes),
        "refused_warm_quota": figures.get("refused_warm_quota", 0),
    }


def _format(figures: list[dict[str, float]]) -> str:
    return ", ".join(
        f"{key} {median:.1f} ({low:.1f}-{high:.1f})"
        for key in figures[0]
        for median, low, high in [
            measures.summarize([item[key] for item in figures])
        ]
    )
