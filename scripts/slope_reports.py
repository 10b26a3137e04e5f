"""Prints what one more item of a kind costs."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time
import tracemalloc
from typing import Any


def report(name: str, value: float, unit: str) -> None:
    """Print one slope."""
    print(f"{name:<52} {value:>12,.1f} {unit}", flush=True)


@contextlib.contextmanager
def measure_memory(name: str, count: int) -> Iterator[None]:
    """Report the memory that a block allocates for each of its items."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    try:
        yield
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    report(f"memory: {name}", (after - before) / count, "bytes")


def measure_time(
    name: str, call: Callable[[], Any], least_s: float = 0.3
) -> float:
    """Report the processor time of a call in microseconds."""
    call()
    count = 0
    started_s = time.process_time()
    while time.process_time() - started_s < least_s:
        call()
        count += 1
    cost_us = (time.process_time() - started_s) / count * 1e6
    report(f"time: {name}", cost_us, "us")
    return cost_us
