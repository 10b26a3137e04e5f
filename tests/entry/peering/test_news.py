"""Model of how VMs learn that endpoints leave.

Real controllers run on virtual time, with a simulated store and network.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from entry import scenarios
from entry import simulation
import pytest
import searchbounds

from bronzetrack.entry import endpoints
from bronzetrack.entry import process
from bronzetrack.entry import roles
from bronzetrack.entry.peering import hubs

SEEDS = 12


def find_faults(seed: int) -> list[str]:
    """Run one course of events and return the violations."""
    course = scenarios.Course(simulation.World(random.Random(seed)))
    simulation.run(course.world, course.run)
    return course.faults


@pytest.mark.parametrize("seed", range(SEEDS * searchbounds.FACTOR))
def test_endpoint_that_leaves_gets_requests_of_a_vm_in_touch(seed):
    """Guards against news that is late, lost or undone."""
    assert not find_faults(seed)


def trust_hubs_without_the_store(patch):
    """Let VMs rely on hubs however old their view is."""
    patch.setattr(hubs, "VIEW_TTL_S", 1e9)


def trust_silent_hubs(patch):
    """Let VMs rely on hubs that are not heard."""
    patch.setattr(hubs, "HUB_SILENCE_S", 1e9)


def hide_listings(patch):
    """Let hubs keep from others what a listing lacks."""
    process.import_controllers()
    discovery = roles.CONTROLLERS.lookup("discovery")
    mark = discovery._mark_missing_removed

    def mark_silently(self, *arguments):
        mark(self, *arguments)
        return False

    patch.setattr(discovery, "_mark_missing_removed", mark_silently)
    patch.setattr(discovery, "_tell", lambda self, message: None)


def forget_removed_endpoints(patch):
    """Let VMs forget what they know with the entry."""
    patch.setattr(
        endpoints.EndpointTable,
        "find",
        lambda self, identity: self.by_identity.get(identity),
    )


def believe_one_announcement(patch):
    """Let one announcement after a removal count."""
    patch.setattr(
        endpoints.Endpoint, "confirm_return", lambda self, count, now: True
    )


@pytest.mark.parametrize(
    ("take_out_repair", "seed"),
    [
        (trust_hubs_without_the_store, 21),
        (trust_silent_hubs, 143),
        (hide_listings, 70),
        (forget_removed_endpoints, 1),
        (believe_one_announcement, 268),
    ],
)
def test_model_misses_a_fault_that_was_mended(
    monkeypatch, take_out_repair: Callable[..., None], seed
):
    """Guards against a model whose checks find nothing."""
    take_out_repair(monkeypatch)
    assert any(map(find_faults, range(seed, seed + 40)))
