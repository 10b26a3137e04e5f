"""Tests of quotas while VMs join a fleet.

Real controllers run on virtual time, with a simulated store and network.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from entry import simulation
from entry.quotas import network
import pytest

from bronzetrack.entry.quotas import claims
from bronzetrack.entry.workspaces import workspaces

# Bounds of the largest workspace of the deployments with quotas.
RATE_PER_S = 67_000.0
SLACK = 110_000.0
WORKSPACE = workspaces.Workspace(
    "t",
    rate_per_s=RATE_PER_S,
    burst=RATE_PER_S,
    unit=workspaces.Unit.TOKENS,
)
COST = 2_000.0
# Time between two requests at each VM, and for how long they come.
PAUSE_S = 1 / 60
LOAD_S = 10.0


class Load:
    """Requests of one workspace at all VMs.

    :ivar claims: claims of all requests so far
    """

    def __init__(self, world: simulation.World) -> None:
        self.claims: list[claims.Claim] = []
        self._world = world

    async def run(self, seconds: float = LOAD_S) -> None:
        """Send requests to all VMs that run then."""
        end = self._world.read_clock() + seconds
        while self._world.read_clock() < end:
            for vm in self._world.vms.values():
                claim = claims.Claim("r", WORKSPACE, COST)
                self.claims.append(claim)
                vm.board.quota_claims.post(claim)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(1.0)

    def find_excess(self) -> float:
        """Return the tokens beyond the bound in the worst window."""
        return network.find_excess(self.claims, RATE_PER_S, RATE_PER_S, SLACK)


def make_world(seed: int) -> simulation.World:
    """Return a deployment whose store states eras, and has a workspace."""
    world = simulation.World(
        random.Random(seed),
        controllers=("membership", "discovery", "quotas"),
        workspaces={WORKSPACE.name: WORKSPACE},
    )
    world.log.era = 1
    return world


@pytest.fixture
def world() -> simulation.World:
    """Deployment whose store states eras, and one workspace with a quota."""
    return make_world(1)


@pytest.fixture
def play(world) -> Callable[..., Load]:
    """Function that plays a course of events and then the load."""

    def run(course) -> Load:
        load = Load(world)

        async def act() -> None:
            await course()
            await load.run()
            for name in list(world.vms):
                await world.stop_vm(name)

        simulation.run(world, act)
        return load

    return run


def start_vms(world: simulation.World, prefix: str, count: int) -> None:
    """Start VMs whose names begin with a prefix."""
    for number in range(count):
        world.start_vm(f"{prefix}-{number}")


@pytest.mark.parametrize("era", [None, 1])
def test_vm_that_is_added_to_a_calm_fleet_is_known_to_all(world, play, era):
    """Guards against two owners while some VMs do not know the new one."""
    world.log.era = era

    async def course() -> None:
        start_vms(world, "vm", 8)
        await asyncio.sleep(60.0)
        start_vms(world, "new", 3)
        await asyncio.sleep(5.0)
        for vm in world.vms.values():
            table = vm.board.membership.value.peer_table
            assert len(table.list_alive(world.read_clock())) == 10

    assert play(course).find_excess() <= 0
