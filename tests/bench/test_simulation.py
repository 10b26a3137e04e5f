"""Tests of whole runs of the simulation."""

from __future__ import annotations

import attrs
import pytest

from bench import simulation
from bench import site as sites
from bench import workloads


@pytest.fixture(scope="module", params=list(workloads.WORKLOADS))
def run(request) -> sites.Site:
    workload = attrs.evolve(
        workloads.WORKLOADS[request.param], duration_ms=12_000
    )
    arrivals = workloads.make_arrivals(workload, 11)
    result = simulation.make_site(
        workload, sites.OWN_POLICY, arrivals, 11, True
    )
    result.run()
    return result


def test_loads_stay_within_the_limit_of_the_store(run):
    """Guards against VMs that together exceed the limit on loads."""
    assert 0 < run.store.max_in_flight <= run.workload.store_limit


def test_every_request_is_answered_or_refused(run):
    """Guards against requests that get not_started between queues."""
    not_started = [
        item
        for item in run.outcomes
        if not item.refusal and item.started_ms is None
    ]
    waiting = sum(len(queue.waiting) for queue in run.queues.values())
    assert len(not_started) == waiting
    assert len(not_started) < len(run.outcomes) / 100


def test_running_work_matches_the_engines(run):
    """Guards against a queue that disagrees with the batch of its engine."""
    for name, queue in run.queues.items():
        assert set(queue.running) == set(run.engines[name].jobs)
        assert len(queue.running) <= run.endpoints[name].slots
