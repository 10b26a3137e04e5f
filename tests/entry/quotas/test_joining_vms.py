"""Tests of quotas while VMs join a fleet, and the store is restored.

Real controllers run on virtual time, with a simulated store and network.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools
import random

from entry import simulation
from entry.quotas import network
import pytest
import searchbounds

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
# Until then, the VMs that start first have learnt of each other.
SETTLED_S = 6.0
# How long the store is away before it comes back from a copy.
AWAY_S = 1.0


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

    def count_admitted(self) -> int:
        """Return the number of admitted requests."""
        return sum(
            claim.verdict is claims.Verdict.ADMITTED for claim in self.claims
        )


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


async def restore(world: simulation.World, copy: dict) -> None:
    """Take the store away, and bring it back as it was in a copy."""
    world.store_down = True
    await asyncio.sleep(AWAY_S)
    world.log.restore(copy)
    world.store_down = False


@pytest.mark.parametrize("prefix", ["new", "zm"])
@pytest.mark.parametrize(
    ("vms", "added", "added_s"),
    [
        (1, 1, 8.5),
        (1, 2, 0.0),
        (2, 1, 8.5),
        (3, 2, 0.0),
        (5, 1, 2.0),
        (8, 5, 0.5),
    ],
)
def test_vm_that_is_added_after_a_restore_lends_beside_nobody(
    world, play, prefix, vms, added, added_s
):
    """Guards against a VM that takes itself for the only one.

    The store has lost the announcements of the others.

    :param prefix: of names that come before or after those of the others
    :param added_s: time between the return of the store and the new VMs
    """

    async def course() -> None:
        copy = world.log.copy()
        start_vms(world, "vm", vms)
        await asyncio.sleep(SETTLED_S)
        await restore(world, copy)
        await asyncio.sleep(added_s)
        start_vms(world, prefix, added)

    load = play(course)
    assert load.find_excess() <= 0
    assert load.count_admitted() * COST > LOAD_S * RATE_PER_S / 2


@pytest.mark.parametrize("era", [None, 1])
@pytest.mark.parametrize("vms", [1, 2, 5])
def test_vms_that_start_together_lend_once(world, play, vms, era):
    """Guards against VMs that read before the others are announced."""
    world.log.era = era

    async def course() -> None:
        start_vms(world, "vm", vms)

    load = play(course)
    assert load.find_excess() <= 0
    assert load.count_admitted() * COST > LOAD_S * RATE_PER_S / 2


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


@pytest.mark.parametrize("cut_s", [2.0, 6.0, 25.0])
@pytest.mark.parametrize(("vms", "added"), [(1, 1), (1, 3), (2, 3), (3, 1)])
def test_vms_without_the_store_over_a_restore_lend_once(
    world, play, vms, added, cut_s
):
    """Guards against a VM whose announcement cannot be written again.

    One VM reaches neither the store nor the others until after the new VMs
    have started.
    """

    async def course() -> None:
        copy = world.log.copy()
        start_vms(world, "vm", vms)
        await asyncio.sleep(SETTLED_S)
        world.cut_from_store = {"vm-0"}
        world.cut_from_vms = {"vm-0"}
        await restore(world, copy)
        start_vms(world, "new", added)
        heal = asyncio.get_running_loop().call_later
        heal(cut_s, world.cut_from_store.clear)
        heal(cut_s, world.cut_from_vms.clear)
        await asyncio.sleep(max(0.0, cut_s - LOAD_S / 2))

    assert play(course).find_excess() <= 0


def test_one_vm_lends_through_short_outages_of_the_store(world, play):
    """Guards against refusals while the store is away for a moment."""
    tasks = []

    async def course() -> None:
        start_vms(world, "vm", 1)
        await asyncio.sleep(SETTLED_S)

        async def interrupt() -> None:
            for _ in range(4):
                world.store_down = True
                await asyncio.sleep(AWAY_S)
                world.store_down = False
                await asyncio.sleep(1.5)

        tasks.append(asyncio.ensure_future(interrupt()))

    load = play(course)
    unknown = [
        claim
        for claim in load.claims
        if claim.verdict is claims.Verdict.UNKNOWN
    ]
    assert not unknown


class Course:
    """Random events of a fleet, one after another.

    :ivar counter: numbers of the VMs that are added
    """

    def __init__(self, world: simulation.World) -> None:
        self._world = world
        self._counter = itertools.count()
        self._copy = world.log.copy()

    async def run(self) -> None:
        """Let events come until cancelled."""
        generator = self._world.generator
        acts = (self._restore, self._add, self._replace, self._cut)
        while True:
            await generator.choice(acts)()
            await asyncio.sleep(generator.uniform(0.0, 4.0))

    async def _restore(self) -> None:
        await restore(self._world, self._copy)
        self._copy = self._world.log.copy()

    async def _add(self) -> None:
        name = self._world.generator.choice("az")
        self._world.start_vm(f"{name}-{next(self._counter)}")

    async def _replace(self) -> None:
        names = sorted(self._world.vms)
        await self._world.stop_vm(self._world.generator.choice(names))
        await self._add()

    async def _cut(self) -> None:
        """Cut VMs off from the store for a while."""
        names = sorted(self._world.vms)
        count = self._world.generator.randint(1, len(names))
        self._world.cut_from_store = set(
            self._world.generator.sample(names, count)
        )
        await asyncio.sleep(self._world.generator.uniform(0.5, 3.0))
        self._world.cut_from_store = set()


@pytest.mark.parametrize("seed", range(6 * searchbounds.FACTOR))
def test_quota_is_kept_while_vms_come_and_the_store_is_restored(seed):
    """Guards against two owners after any series of such events."""
    world = make_world(seed)
    load = Load(world)

    async def act() -> None:
        start_vms(world, "vm", world.generator.choice((1, 2, 3, 5)))
        await asyncio.sleep(SETTLED_S)
        task = asyncio.ensure_future(Course(world).run())
        await load.run(seconds=40.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for name in list(world.vms):
            await world.stop_vm(name)

    simulation.run(world, act)
    assert load.find_excess() <= 0
