"""Processor time of a VM while many requests wait for full engines.

Prints the processor time for each request that is served, by the number of
requests that wait, and the longest step of the event loop. All wait at one VM
for the same adapter. Time is virtual, the decisions are those of the product.

Run it with `make waiting`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import logging
import time

import attrs
from entry.admission import replay

SIZES = (250, 500, 1_000, 2_000, 4_000)
ENGINES = 8
# Requests that engines take at once do not wait.
TAKEN = ENGINES * (replay.SLOTS + replay.QUEUE)
KIND = replay.Kind(rate_per_s=0.0, leaves_s=30.0, run_s=2.25)
# Virtual time from the arrivals to the measurement, and its length.
LEAD_S = 2.0
WINDOW_S = 10.0


@attrs.frozen
class Cost:
    """What it took to serve requests while others waited.

    :param waiting: requests that waited at the start of the measurement
    :param served: requests that were begun during it
    :param busy_s: processor time during it, in seconds
    :param longest_step_s: longest step of the event loop, in seconds
    """

    waiting: int
    served: int
    busy_s: float
    longest_step_s: float

    @property
    def busy_ms_each(self) -> float:
        """Processor time for each request that was served, in ms."""
        return 1000 * self.busy_s / max(1, self.served)


@contextlib.contextmanager
def watch_steps() -> Iterator[list[float]]:
    """Measure the processor time of each step of the event loop.

    :returns: a list to which the times are added, in seconds
    """
    steps: list[float] = []
    run = asyncio.Handle._run

    def run_measured(handle: asyncio.Handle) -> None:
        started_at = time.thread_time()
        run(handle)
        steps.append(time.thread_time() - started_at)

    asyncio.Handle._run = run_measured  # type: ignore[method-assign]
    try:
        yield steps
    finally:
        asyncio.Handle._run = run  # type: ignore[method-assign]


async def _measure(crowd: replay.Replay, waiting: int) -> Cost:
    (controller,) = crowd.controllers
    digests = asyncio.ensure_future(crowd._send_digests())
    tasks = [
        asyncio.ensure_future(crowd._serve(controller, KIND))
        for _ in range(TAKEN + waiting)
    ]
    await asyncio.sleep(LEAD_S)
    waiting = len(controller.board.admission.value.waiters)
    before = sum(result.started for result in crowd.results)
    with watch_steps() as steps:
        started_at = time.process_time()
        await asyncio.sleep(WINDOW_S)
        busy_s = time.process_time() - started_at
        longest_s = max(steps, default=0.0)
    served = sum(result.started for result in crowd.results) - before
    for task in (digests, *tasks):
        task.cancel()
    await asyncio.gather(digests, *tasks, return_exceptions=True)
    return Cost(waiting, served, busy_s, longest_s)


def measure_cost(requests: int) -> Cost:
    """Return the cost of serving requests while many wait.

    :param requests: number of requests that wait at the beginning
    """
    crowd = replay.Replay("on", vms=1)
    for number in range(ENGINES):
        crowd.add_engine(f"e{number}", "a")
    return crowd.loop.run_until_complete(_measure(crowd, requests))


def main() -> None:
    """Print a line for each number of requests."""
    logging.disable(logging.CRITICAL)
    print("waiting  served  ms each  longest step, ms")
    for size in SIZES:
        cost = measure_cost(size)
        print(
            f"{cost.waiting:7}  {cost.served:6}  {cost.busy_ms_each:7.2f}"
            f"  {1000 * cost.longest_step_s:16.1f}"
        )


if __name__ == "__main__":
    main()
