"""Tests of VMs that start before lost records are written again."""

from __future__ import annotations

import asyncio
import random

from entry import simulation

from bronzetrack.entry.suspects import suspectrecords
from bronzetrack.entry.suspects import suspects
from bronzetrack.platform import names

KEY = "deadly"


def encode_record(now: float) -> bytes:
    """Return the record of a request that has crashed three endpoints."""
    evidence = suspects.Evidence()
    evidence.crashes.update(dict.fromkeys(("e1", "e2", "e3"), now))
    return suspectrecords.encode_record(
        suspectrecords.make_record(evidence, now, now)
    )


def test_vm_reads_records_that_are_written_again_after_its_start(monkeypatch):
    """Guards against a fourth crash on a VM that none tells of the three.

    The VM that wrote the record has ended since.
    """
    world = simulation.World(
        random.Random(1), controllers=("membership", "crashes")
    )
    world.log.era = 2

    async def act() -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr("time.time", loop.time)
        world.start_vm("vm-1")
        await asyncio.sleep(4.0)
        value = encode_record(loop.time())
        world.log.append(names.SUSPECTS_TOPIC, KEY, value)
        await asyncio.sleep(5.0)
        board = world.vms["vm-1"].board
        count = board.suspects.value.count(
            KEY, board.answers.value, loop.time()
        )
        await world.stop_vm("vm-1")
        assert count == 3

    simulation.run(world, act)
