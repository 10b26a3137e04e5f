"""Tests of whole runs of the load driver."""

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
    made = simulation.make_site(workload, sites.OWN, arrivals, 11, True)
    made.run()
    return made


def test_loads_stay_within_the_stores_limit(run):
    """Guards against all VMs together exceeding the loads in flight."""
    assert 0 < run.store.most <= run.workload.store_limit


def test_every_request_is_answered_or_refused(run):
    """Guards against work that is lost between queues."""
    lost = [
        item
        for item in run.outcomes
        if not item.refusal and item.started_ms is None
    ]
    waiting = sum(len(queue.waiting) for queue in run.queues.values())
    assert len(lost) == waiting
    assert len(lost) < len(run.outcomes) / 100


def test_running_work_fits_the_engines(run):
    """Guards against a queue and its engine that disagree."""
    for name, queue in run.queues.items():
        assert set(queue.running) == set(run.engines[name].jobs)
        assert len(queue.running) <= run.endpoints[name].slots
