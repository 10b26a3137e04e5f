"""Measures and prints slopes: the cost of one more item of a kind."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time
import tracemalloc
from typing import Any


def report(name: str, value: float, unit: str) -> None:
    """Print one slope as a line of a table."""
    print(f"{name:<52} {value:>12,.1f} {unit}", flush=True)


@contextlib.contextmanager
def measure_memory(name: str, count: int) -> Iterator[None]:
    """Report the memory that a block allocates, per item.

    :param count: number of items that the block creates
    """
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    try:
        yield
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    report(f"memory: {name}", (after - before) / count, "bytes")


def measure_time(
    name: str, call: Callable[[], Any], min_s: float = 0.3
) -> float:
    """Report and return the mean processor time of a call.

    :param min_s: processor time for which the call is repeated
    :returns: processor time of one call, in microseconds
    """
    call()
    count = 0
    started_s = time.process_time()
    while time.process_time() - started_s < min_s:
        call()
        count += 1
    cost_us = (time.process_time() - started_s) / count * 1e6
    report(f"time: {name}", cost_us, "us")
    return cost_us
