"""Counters and histograms, updated once for each request or order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client

if TYPE_CHECKING:
    from bronzetrack.core import failures
    from bronzetrack.streaming import outcomes

NO_REASON = "none"
# The targets are 0.37 s for the first token and 0.25 s for a load.
FIRST_CHUNK_BUCKETS_S = (
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.37,
    0.5,
    1,
    2,
    5,
    10,
    30,
)

REQUESTS = prometheus_client.Counter(
    "bronzetrack_requests",
    "Requests that ended at this VM.",
    ["outcome", "reason"],
)
FIRST_CHUNK = prometheus_client.Histogram(
    "bronzetrack_first_chunk_seconds",
    "Time from arrival at this VM to the first chunk of the answer.",
    ["work_class"],
    buckets=FIRST_CHUNK_BUCKETS_S,
)
LOADS = prometheus_client.Counter(
    "bronzetrack_loads",
    "Orders to load an adapter version that ended.",
    ["reason"],
)
EVICTIONS = prometheus_client.Counter(
    "bronzetrack_evictions",
    "Orders to unload an adapter version that ended.",
    ["reason"],
)


def count_request(
    outcome: outcomes.Outcome, failure: failures.Failure | None
) -> None:
    """Count a request that ended."""
    REQUESTS.labels(outcome.value, _get_reason(failure)).inc()


def count_load(failure: failures.Failure | None) -> None:
    """Count an order to load an adapter version that ended."""
    LOADS.labels(_get_reason(failure)).inc()


def count_eviction(failure: failures.Failure | None) -> None:
    """Count an order to unload an adapter version that ended."""
    EVICTIONS.labels(_get_reason(failure)).inc()


def observe_first_chunk(work_class: str, waited_ms: int) -> None:
    """Record how long a caller waited for the first chunk of an answer."""
    FIRST_CHUNK.labels(work_class).observe(waited_ms / 1000)


def _get_reason(failure: failures.Failure | None) -> str:
    return NO_REASON if failure is None else failure.reason.value
