"""The yardstick: one queue, exact knowledge and no loads."""

from __future__ import annotations

from collections.abc import Callable

from bench import fakes
from bench import simulation
from bench import site as sites
from bench import workloads


def run_oracle(
    workload: workloads.Workload,
    arrivals: list[workloads.Arrival],
    seed: int,
) -> sites.Site:
    """Return a run with one queue, exact knowledge and no loads.

    Every adapter is loaded everywhere, and the request of the lowest rank
    starts on the engine with the smallest batch.
    """
    run = simulation.make_site(workload, sites.OWN, [], seed)
    run.outcomes = [sites.Outcome(item) for item in arrivals]
    waiting: list[sites.Outcome] = []

    def advance() -> None:
        waiting.sort(
            key=lambda item: (
                workload.classes[item.arrival.kind.work_class].rank,
                item.arrival.at_ms,
            )
        )
        while waiting:
            engine = min(run.engines.values(), key=lambda e: len(e.jobs))
            if len(engine.jobs) >= workloads.ENGINE_SLOTS:
                return
            start(engine, waiting.pop(0))

    def start(engine: fakes.Engine, outcome: sites.Outcome) -> None:
        outcome.started_ms = run.timeline.now_ms
        arrival = outcome.arrival

        def record_first_chunk() -> None:
            outcome.first_ms = run.timeline.now_ms

        def end() -> None:
            outcome.ended_ms = run.timeline.now_ms
            advance()

        engine.start(
            str(arrival.number),
            arrival.kind.prompt,
            arrival.output,
            record_first_chunk,
            end,
        )

    def arrive(outcome: sites.Outcome) -> Callable[[], None]:
        def act() -> None:
            waiting.append(outcome)
            advance()

        return act

    for outcome in run.outcomes:
        run.timeline.call_at(outcome.arrival.at_ms, arrive(outcome))
    return run
