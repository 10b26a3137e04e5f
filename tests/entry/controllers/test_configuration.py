"""Tests of the reads of the operator topic."""

from __future__ import annotations

import anyio
import attrs
import pytest

from bronzetrack.entry import roles
from bronzetrack.platform import follower

pytestmark = pytest.mark.anyio
CHANGE = follower.Change([], False, False)


@attrs.define
class SilentFollower:
    """Follower whose first read is on a connection that fell silent.

    :param waits: waits that were asked for
    """

    waits: list[float | None] = attrs.field(factory=list)
    next_offset: int = 7

    async def read(self, wait_s: float | None = None) -> follower.Change:
        """Return no change, or never for the first read."""
        self.waits.append(wait_s)
        if len(self.waits) == 1:
            await anyio.sleep_forever()
        return CHANGE


@pytest.fixture
def configuration(make_controller, board, now) -> roles.Controller:
    """Configuration controller of a VM that has just heard a hub."""
    board.membership.value.hub_heard_at = now
    board.membership.value.operator_view_at = now
    return make_controller("configuration")


async def test_read_that_misses_a_change_is_given_up(configuration, board):
    """Guards against an old configuration after a connection fell silent."""
    silent = SilentFollower()
    board.membership.value.operator_offset = 8
    with anyio.fail_after(1):
        assert await configuration._read(silent) == CHANGE
    assert len(silent.waits) == 2


@attrs.define
class SlowFollower:
    """Follower whose reads take longer than a hub's lead.

    :param reads: number of reads that began
    """

    reads: int = 0
    next_offset: int = 7

    async def read(self, wait_s: float | None = None) -> follower.Change:
        """Return no change after a while, as a large record does."""
        self.reads += 1
        await anyio.sleep(0.5)
        return CHANGE


async def test_slow_read_of_a_change_is_not_given_up_again(
    configuration, board
):
    """Guards against an old configuration if a new one takes long to read.

    A large configuration over a slow link takes longer than the time after
    which a connection counts as silent.
    """
    slow = SlowFollower()
    board.membership.value.operator_offset = 8
    with anyio.fail_after(2):
        assert await configuration._read(slow) == CHANGE
    assert slow.reads == 2


@pytest.mark.parametrize(
    ("name", "age_s"), [("hub_heard_at", 5), ("operator_view_at", 2)]
)
async def test_long_read_ends_without_news_of_hubs(
    configuration, board, now, name, age_s
):
    """Guards against an old configuration at a VM without news.

    It hears no hub any more, or only hubs that do not reach the store.
    """
    silent = SilentFollower()

    async def lose_news():
        await anyio.sleep(0.05)
        membership = board.membership.value
        setattr(membership, name, now - age_s)
        board.membership.write("membership", membership)

    async with anyio.create_task_group() as group:
        group.start_soon(lose_news)
        with anyio.fail_after(1):
            assert await configuration._read(silent) == CHANGE
    assert silent.waits[0] > 1
    assert silent.waits[1] is None


async def test_hub_reads_with_short_waits(configuration, board):
    """Guards against hubs that all wait for each other."""
    board.membership.value.is_hub = True
    silent = SilentFollower([None])
    assert await configuration._read(silent) == CHANGE
    assert silent.waits == [None, None]
