"""Fixtures: sites whose daemons run as separate processes."""

from __future__ import annotations

from collections.abc import Iterator

from daemon import pairs
import pytest

from standins import site as sites


@pytest.fixture(scope="module")
def site(tmp_path_factory) -> Iterator[sites.Site]:
    """Yield a settled site that the tests of one module share."""
    folder = tmp_path_factory.mktemp("site")
    with sites.run_site(folder) as running:
        sites.publish_samples(running)
        running.wait(running.is_settled)
        running.wait_keys()
        yield running


@pytest.fixture
def service_pair(tmp_path) -> Iterator[pairs.Pair]:
    """Yield two VMs, one of which owns a plain service."""
    with sites.run_site(tmp_path, vms=2, engines=0, services=1) as running:
        sites.publish_samples(running)
        yield pairs.find_pair(running)


@pytest.fixture
def engine_pair(tmp_path) -> Iterator[pairs.Pair]:
    """Yield two VMs, one of which owns an engine."""
    with sites.run_site(
        tmp_path, vms=2, engines=1, services=0, token_ms=20.0
    ) as running:
        sites.publish_samples(running)
        yield pairs.find_pair(running)


@pytest.fixture
def narrow_pair(tmp_path) -> Iterator[pairs.Pair]:
    """Yield two VMs, one of which owns an engine with a single slot."""
    with sites.run_site(
        tmp_path, vms=2, engines=1, services=0, token_ms=20.0, slots=1
    ) as running:
        sites.publish_samples(running)
        yield pairs.find_pair(running)


@pytest.fixture
def healthy_site(site) -> Iterator[sites.Site]:
    """Yield the shared site without injected faults, and remove them after."""
    site.set_faults()
    yield site
    site.set_faults()
    site.wait(site.is_settled)
