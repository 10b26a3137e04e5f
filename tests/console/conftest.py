"""Fixtures: a running site and functions that run the tool."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from click import testing
import pytest

from bronzetrack.console import application
from standins import site as sites

Run = Callable[..., testing.Result]


@pytest.fixture(scope="module")
def site(tmp_path_factory) -> Iterator[sites.Site]:
    """Yield a site of two VMs with two engines and one service."""
    folder = tmp_path_factory.mktemp("site")
    with sites.run_site(folder, vms=2, engines=2) as running:
        sites.publish_samples(running)
        running.wait(lambda: running.count_owned() == 3)
        running.wait_keys()
        yield running


@pytest.fixture(scope="session")
def run() -> Run:
    """Return a function that runs the tool with some arguments."""
    application.add_commands()
    runner = testing.CliRunner()
    return lambda *arguments: runner.invoke(
        application.application, list(arguments)
    )


@pytest.fixture(scope="module")
def call(site, run) -> Run:
    """Return a function that runs `request` at the first VM."""
    address = site.vms["vm-0"].callers
    return lambda *arguments: run(
        "request", "--address", address, "--prompt", "tow", *arguments
    )


@pytest.fixture(scope="module")
def inspect(site, run) -> Run:
    """Return a function that runs a command with an operators' address."""
    address = site.vms["vm-0"].operators
    return lambda *arguments: run(*arguments, "--operators", address)
