"""Computes the measurements of one run.

Result keys that contain `crest` refer to the load peaks.
"""

from __future__ import annotations

from collections.abc import Sequence
import statistics

from bench import fakes
from bench import site as sites
from bench import workloads

WINDOW_MS = 10_000
SETTLE_MS = 3_000


def find_percentile(values: Sequence[float], part: float) -> float:
    """Return a percentile of some values, 0 if there are none.

    :param part: percentile as a fraction
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _get_first_token_ms(run: sites.Site, item: sites.Outcome) -> float:
    """Return the time to the first token, in milliseconds.

    For a request without a first token, it is the time until the end of the
    run.
    """
    at_ms = item.first_ms
    if at_ms is None:
        at_ms = run.timeline.now_ms
    return at_ms - item.arrival.at_ms


def _list_good(run: sites.Site) -> list[sites.Outcome]:
    """Return the requests of load peaks that were answered in time."""
    return [
        item
        for item in run.outcomes
        if run.workload.is_peak(item.arrival.at_ms)
        and item.ended_ms is not None
        and _get_first_token_ms(run, item) <= item.arrival.kind.limit_ms
    ]


def measure_good_cost(run: sites.Site) -> float:
    """Return the tokens per second of peak requests answered in time."""
    length_ms = sum(end - start for start, end in run.workload.peaks)
    cost = sum(item.arrival.cost for item in _list_good(run))
    return cost * 1000 / length_ms


def measure_load(run: sites.Site) -> dict[str, float]:
    """Return the measurements of a run with load peaks."""
    workload = run.workload
    short = workload.kinds[0].work_class
    peak = [
        item for item in run.outcomes if workload.is_peak(item.arrival.at_ms)
    ]
    first_token_times = [
        _get_first_token_ms(run, item)
        for item in peak
        if not item.refusal and item.arrival.kind.work_class == short
    ]
    waits = [
        (item.started_ms or run.timeline.now_ms) - item.arrival.at_ms
        for item in run.outcomes
        if not item.refusal and item.arrival.kind.work_class == short
        # Waits for a load are counted as stalls.
        and item.stalled_ms is None
    ]
    stalls = [
        item.stalled_ms for item in run.outcomes if item.stalled_ms is not None
    ]
    thousands = len(run.outcomes) / 1000
    peak_s = sum(end - start for start, end in workload.peaks) / 1000
    refusals: dict[str, float] = {}
    for item in run.outcomes:
        if item.refusal:
            name = f"refused_{item.refusal}"
            refusals[name] = refusals.get(name, 0) + 1
    return {
        "stalls_per_1000": len(stalls) / thousands,
        "stall_s_per_1000": sum(stalls) / 1000 / thousands,
        "batch_efficiency": _measure_batches(run),
        "crest_goodput_per_s": len(_list_good(run)) / peak_s,
        "crest_first_p50_ms": find_percentile(first_token_times, 0.5),
        "crest_first_p99_ms": find_percentile(first_token_times, 0.99),
        "short_wait_p99_ms": find_percentile(waits, 0.99),
        "short_first_p99_ms": find_percentile(
            [
                _get_first_token_ms(run, item)
                for item in run.outcomes
                if not item.refusal and item.arrival.kind.work_class == short
            ],
            0.99,
        ),
        "warm_first_p99_ms": find_percentile(
            [
                _get_first_token_ms(run, item)
                for item in run.outcomes
                if not item.refusal
                and item.arrival.kind.work_class == short
                and item.stalled_ms is None
            ],
            0.99,
        ),
        "loads": run.store.loads,
        "most_loads": run.store.max_in_flight,
        **refusals,
    }


def count_needed_loads(run: sites.Site) -> int:
    """Return the fewest stalls given exact knowledge of later requests.

    All adapter slots form one pool. The pool starts with the adapters that
    are loaded at the start of the run, and evicts the adapter whose next use
    is the furthest away.
    """
    arrivals = [item.arrival for item in run.outcomes]
    capacity = run.workload.engines * run.workload.adapter_slots
    next_uses: dict[str, list[int]] = {}
    for place in reversed(range(len(arrivals))):
        next_uses.setdefault(arrivals[place].adapter, []).append(place)
    loaded = set().union(*(queue.residents for queue in run.queues.values()))
    misses = 0
    for item in arrivals:
        next_uses[item.adapter].pop()
        if item.adapter in loaded:
            continue
        misses += 1
        if len(loaded) >= capacity:
            loaded.remove(
                max(loaded, key=lambda name: _find_next(next_uses.get(name)))
            )
        loaded.add(item.adapter)
    return misses


def _find_next(places: list[int] | None) -> float:
    return places[-1] if places else float("inf")


def _measure_batches(run: sites.Site) -> float:
    """Return the generated tokens as a fraction of those of full batches."""
    token_ms = (
        fakes.TOKEN_BASE_MS
        + fakes.TOKEN_PER_REQUEST_MS * workloads.ENGINE_SLOTS
    )
    full = sum(
        engine.busy_ms * workloads.ENGINE_SLOTS / token_ms
        for engine in run.engines.values()
    )
    generated = sum(engine.tokens for engine in run.engines.values())
    return generated / full if full else 0.0


def measure_shares(run: sites.Site) -> dict[str, float]:
    """Return the largest deviation from the configured shares in any window.

    The second measurement leaves out starts for which no other member had
    work waiting, since the rules lend that capacity.
    """
    contended = [start for start in run.starts if start.contended]
    last_ms = int(run.workload.duration_ms) - WINDOW_MS
    return {
        "share_error": _find_worst_share(run.starts, last_ms),
        "contended_share_error": _find_worst_share(contended, last_ms),
    }


def _find_worst_share(starts: Sequence[sites.Start], last_ms: int) -> float:
    total = sum(workloads.MEMBERS.values())
    worst = 0.0
    for begin in range(SETTLE_MS, last_ms + 1, 500):
        cost = dict.fromkeys(workloads.MEMBERS, 0.0)
        for start in starts:
            if begin <= start.at_ms < begin + WINDOW_MS:
                cost[start.member] += start.cost
        cost_sum = sum(cost.values())
        for member, weight in workloads.MEMBERS.items():
            share = cost[member] / cost_sum if cost_sum else 0.0
            worst = max(worst, abs(share - weight / total))
    return worst


def summarize(values: Sequence[float]) -> tuple[float, float, float]:
    """Return the median, the smallest and the largest value."""
    return statistics.median(values), min(values), max(values)
