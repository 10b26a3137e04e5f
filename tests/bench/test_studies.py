"""Tests of the parts of the benchmark that only the studies use."""

from __future__ import annotations

import attrs
import pytest

from bench import measures
from bench import simulation
from bench import site as sites
from bench import workloads


@pytest.fixture
def run() -> sites.Site:
    workload = attrs.evolve(workloads.TRUST, duration_ms=4_000)
    arrivals = workloads.make_arrivals(workload, 11)
    return simulation.make_site(workload, sites.OWN_POLICY, arrivals, 11)


def test_restarted_engine_is_empty_and_serves_again(run):
    """Guards against requests that survive the restart of their engine."""
    run.timeline.run(2_000)
    interrupted = set(run.queues["engine-0"].running)
    assert interrupted
    simulation.restart(run, "engine-0")
    assert not run.engines["engine-0"].jobs
    assert not run.queues["engine-0"].running
    run.run()
    refused = {str(o.arrival.number) for o in run.outcomes if o.refusal}
    assert interrupted <= refused
    assert any(
        item.endpoint == "engine-0" and item.ended_ms is not None
        for item in run.outcomes
        if item.arrival.at_ms > 2_000
    )


def test_contended_share_error_leaves_out_lent_starts(run):
    """Guards against counting lent capacity as contended."""
    run.workload = attrs.evolve(run.workload, duration_ms=13_000)
    run.starts = [
        sites.Start(4_000, member, weight, True)
        for member, weight in workloads.MEMBERS.items()
    ]
    run.starts.append(sites.Start(4_000, "west", 6.0, False))
    figures = measures.measure_shares(run)
    assert figures["contended_share_error"] == pytest.approx(0.0)
    assert figures["share_error"] == pytest.approx(7 / 12 - 1 / 6)
