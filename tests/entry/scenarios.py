"""Random courses of events, and the check of what each VM knows meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools

import attrs
from entry import simulation

from bronzetrack.core import registry
from bronzetrack.platform import names

VMS = 5
ENDPOINTS = 4
# Time for which a VM, its links and the store must have been sound.
CONTACT_S = 4.0
# Time after which an endpoint that leaves must get no more requests, on the
# deployments with the shortest bound.
BOUND_S = 2.0
CHECK_INTERVAL_S = 0.1
FIRST_EVENT_S = 6.0
LENGTH_S = 45.0

Event = Callable[["Course"], Awaitable[None]]
EVENTS: registry.Registry[Event] = registry.Registry("simulated events")


@attrs.define(eq=False)
class Course:
    """One course of events.

    :param faults: violations that were found
    :param store_impaired: number of impairments of the store in progress
    :param store_sound_at: end of the last impairment of the store
    :param sound_at: end of the last impairment of each VM
    :param impaired: VMs with an impairment in progress
    :param stable_leaves: endpoints that left while the store was stable
    :param known: VMs that know that an endpoint has left, with the endpoint
    """

    world: simulation.World
    faults: list[str] = attrs.field(factory=list)
    store_impaired: int = 0
    store_sound_at: float = 0.0
    sound_at: dict[str, float] = attrs.field(factory=dict)
    impaired: set[str] = attrs.field(factory=set)
    stable_leaves: set[str] = attrs.field(factory=set)
    known: set[tuple[str, str]] = attrs.field(factory=set)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    counter: itertools.count[int] = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Run random events and check after each step what VMs know."""
        world = self.world
        for number in range(VMS):
            world.start_vm(f"vm-{number}")
        for _ in range(ENDPOINTS):
            self.add_endpoint()
        self.spawn(self._check())
        await asyncio.sleep(FIRST_EVENT_S)
        end = world.read_clock() + LENGTH_S
        while world.read_clock() < end:
            name = world.generator.choice(sorted(dict(EVENTS.items())))
            self.spawn(EVENTS.lookup(name)(self))
            await asyncio.sleep(world.generator.uniform(0.1, 4.0))
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for vm in list(world.vms):
            await world.stop_vm(vm)

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Run a coroutine until the end of the course."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    def add_endpoint(self) -> None:
        """Start an endpoint."""
        number = next(self.counter)
        endpoint = simulation.EndpointProcess(f"e{number}", 1_000 + number)
        self.spawn(self.world.run_endpoint(endpoint))

    def is_store_stable(self) -> bool:
        """Return whether the store was sound for the time of contact."""
        sound_for_s = self.world.read_clock() - self.store_sound_at
        return not self.store_impaired and sound_for_s >= CONTACT_S

    def is_in_touch(self, vm: str) -> bool:
        """Return whether a VM was sound for the time of contact."""
        sound_for_s = self.world.read_clock() - self.sound_at.get(vm, 0.0)
        return vm not in self.impaired and sound_for_s >= CONTACT_S

    async def impair_store(self, time_s: float) -> None:
        """Let time pass in which the store counts as impaired."""
        self.store_impaired += 1
        await asyncio.sleep(time_s)
        self.store_impaired -= 1
        self.store_sound_at = self.world.read_clock()

    async def impair_vms(self, vms: set[str], time_s: float) -> None:
        """Let time pass in which VMs count as impaired."""
        self.impaired |= vms
        await asyncio.sleep(time_s)
        self.impaired -= vms
        now = self.world.read_clock()
        self.sound_at |= dict.fromkeys(vms, now)

    def draw_vms(self) -> set[str]:
        """Return VMs to impair, sometimes all hubs."""
        generator = self.world.generator
        present = sorted(set(self.world.vms) - self.impaired)
        hubs = {
            name
            for name in present
            if self.world.vms[name].board.membership.value.is_hub
        }
        if generator.random() < 0.5:
            return hubs
        count = generator.randint(0, len(present))
        return set(generator.sample(present, count))

    # Check.

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for vm in list(self.world.vms.values()):
                for endpoint in self.world.endpoints.values():
                    self._check_vm(vm, endpoint)

    def _check_vm(
        self,
        vm: simulation.VmProcess,
        endpoint: simulation.EndpointProcess,
    ) -> None:
        now = self.world.read_clock()
        known = vm.find(endpoint.identity)
        is_usable = known is not None and known.is_usable(now)
        is_sound = self.is_store_stable() and self.is_in_touch(vm.name)
        left_at = endpoint.left_at
        if left_at is None:
            if is_sound and not is_usable and self._is_old(endpoint, now):
                self._record(f"{vm.name} shuns {endpoint.identity}")
        elif is_usable and vm.started_at < left_at:
            is_late = now > left_at + BOUND_S
            if endpoint.identity in self.stable_leaves and is_sound:
                if is_late:
                    self._record(f"{vm.name} uses {endpoint.identity}")
            elif (vm.name, endpoint.identity) in self.known:
                self._record(f"{vm.name} uses {endpoint.identity} again")
        if left_at is not None and known is not None and not is_usable:
            has_read_last = known.announcement_count >= endpoint.sequence - 1
            if known.departure is not None or has_read_last:
                self.known.add((vm.name, endpoint.identity))

    def _is_old(
        self, endpoint: simulation.EndpointProcess, now: float
    ) -> bool:
        """Return whether an endpoint has had an entry for long."""
        return endpoint.sequence > CONTACT_S / simulation.BEAT_S

    def _record(self, fault: str) -> None:
        if fault not in self.faults:
            self.faults.append(fault)


async def _leave(course: Course, is_abrupt: bool) -> None:
    world = course.world
    staying = [
        item
        for item in world.endpoints.values()
        if item.left_at is None and item.state == "ready"
    ]
    if len(staying) < 2:
        course.add_endpoint()
        return
    endpoint = world.generator.choice(staying)
    if course.is_store_stable():
        course.stable_leaves.add(endpoint.identity)
    course.add_endpoint()
    await world.leave(endpoint, is_abrupt)


@EVENTS.register("drain")
async def drain(course: Course) -> None:
    """Let an endpoint leave with an entry that says so."""
    await _leave(course, False)


@EVENTS.register("depart")
async def depart(course: Course) -> None:
    """Let the entry of an endpoint be removed while it goes on."""
    await _leave(course, True)


@EVENTS.register("cut from the store")
async def cut_from_store(course: Course) -> None:
    """Cut VMs off from the store."""
    vms = course.draw_vms()
    course.world.cut_from_store |= vms
    await course.impair_vms(vms, course.world.generator.uniform(1.0, 12.0))
    course.world.cut_from_store -= vms


@EVENTS.register("cut from VMs")
async def cut_from_vms(course: Course) -> None:
    """Cut VMs off from the other VMs; they count as sound."""
    vms = course.draw_vms()
    course.world.cut_from_vms |= vms
    await asyncio.sleep(course.world.generator.uniform(1.0, 8.0))
    course.world.cut_from_vms -= vms


@EVENTS.register("restart")
async def restart(course: Course) -> None:
    """Kill VMs and start them again."""
    vms = course.draw_vms()
    for vm in sorted(vms):
        await course.world.stop_vm(vm)
    await course.impair_vms(vms, course.world.generator.uniform(0.1, 3.0))
    for vm in sorted(vms):
        course.world.start_vm(vm)


@EVENTS.register("loss")
async def lose_datagrams(course: Course) -> None:
    """Lose a part of the datagrams; VMs count as sound."""
    course.world.loss = course.world.generator.uniform(0.0, 0.3)
    await asyncio.sleep(5.0)
    course.world.loss = 0.0


@EVENTS.register("compaction")
async def compact(course: Course) -> None:
    """Hide the changes of a second and drop the history then."""
    log = course.world.log
    topic = names.SERVERS_TOPIC
    if topic in log.hidden:
        return
    log.hidden[topic] = log.get_end(topic)
    await course.impair_store(1.0)
    log.trim(topic)


@EVENTS.register("trim")
async def trim(course: Course) -> None:
    """Drop the history, which the store may do at any time."""
    if names.SERVERS_TOPIC not in course.world.log.hidden:
        course.world.log.trim(names.SERVERS_TOPIC)


@EVENTS.register("slow store")
async def slow_store(course: Course) -> None:
    """Let calls of the store take longer."""
    course.world.slow = course.world.generator.uniform(10.0, 80.0)
    await course.impair_store(4.0)
    course.world.slow = 1.0


@EVENTS.register("outage")
async def stop_store(course: Course) -> None:
    """Stop the store for a while; entries may lapse meanwhile."""
    world = course.world
    if world.store_down:
        return
    world.store_down = True
    await course.impair_store(world.generator.uniform(1.0, 6.0))
    if world.generator.random() < 0.5:
        world.lapse()
    world.store_down = False
