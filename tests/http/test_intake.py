"""Tests of parsing a completion call before it is routed."""

from __future__ import annotations

import json

import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.configuration import state
from bronzetrack.core import clock
from bronzetrack.http import intake

NOW = clock.Instant(0, 1_700_000_000_000)


@pytest.fixture
def configuration() -> state.Configuration:
    adapter = inventories.Adapter("trust", "base", ("1", "2"), "2")
    return state.Configuration(
        offset=0,
        inventory=inventories.Inventory(
            members=("trust",),
            base_models=("base",),
            adapters={"launch-log": adapter},
        ),
        rules=rule_sets.Rules(
            classes={"urgent": rule_sets.ClassRule(rank=0)},
            default_class="urgent",
        ),
    )


@pytest.fixture
def read(configuration):
    def run(**fields):
        body = json.dumps({"model": "launch-log", **fields}).encode()
        return intake.read_completion(
            "request", configuration, "/v1/completions", {}, body, 1_000, NOW
        )

    return run


def test_version_is_fixed_on_arrival(read):
    """Guards against a change of version while the request waits."""
    found = read()
    assert found.adapter == "launch-log@2"
    assert json.loads(found.body)["model"] == "launch-log@2"


def test_engine_gets_the_rank_of_the_class(read):
    """Guards against a caller that sets its own priority."""
    assert json.loads(read(priority=-100).body)["priority"] == 0
