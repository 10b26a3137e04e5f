"""Holds the lease of this VM, claims endpoints and hands them over."""

from __future__ import annotations

import logging
from typing import Any

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.logservice import follower
from bronzetrack.logservice import logservice
from bronzetrack.membership import messages as membership_messages
from bronzetrack.membership import view as views
from bronzetrack.ownership import leases
from bronzetrack.ownership import planner
from bronzetrack.ownership import records
from bronzetrack.ownership import replay
from bronzetrack.ownership import standing

LOG = logging.getLogger(__name__)
PLAN_INTERVAL_MS = 500
# Less than the margin, after which a successor may claim.
JUDGE_INTERVAL_MS = 250
# A copy that the log did not take is tried again after this time.
COPY_RETRY_MS = 5_000


@controllers.CONTROLLERS.register("ownership")
class OwnershipController(controllers.Controller):
    """Replays the ownership stream, renews the lease, claims, releases."""

    name = "ownership"

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._renew)
            group.start_soon(self._plan)
            group.start_soon(self._judge_forever)
            group.start_soon(self._copy)

    def _now_ms(self) -> int:
        return self.read_clock().monotonic_ms

    async def _follow(self) -> None:
        batches = follower.follow_position(
            self.ports.log,
            records.STREAM,
            lambda: self.board.ownership.value.next_offset,
            probes=True,
        )
        async for batch in batches:
            state = self.board.ownership.value
            if isinstance(batch, failures.Failure):
                state = replay.note_outage(state, self._now_ms())
                state = self._judge(state)
            else:
                state = self._apply_batch(state, batch)
            self.write(self.board.ownership, state)

    async def _judge_forever(self) -> None:
        """Keep up the standing while the log cannot be read."""
        while True:
            await blackboard.wait_any(
                self.board.ownership.meets(lambda it: not it.log_reachable)
            )
            state = self._judge(self.board.ownership.value)
            if state is not self.board.ownership.value:
                self.write(self.board.ownership, state)
            await anyio.sleep(JUDGE_INTERVAL_MS / 1000)

    def _judge(self, state: leases.OwnershipState) -> leases.OwnershipState:
        now_ms = self._now_ms()
        claimants = views.list_claimants(
            self.board.membership.value,
            leases.list_owned(state, self.board.incarnation),
            now_ms,
        )
        after = standing.judge(state, self.board.vm, claimants, now_ms)
        if after.standing is not state.standing:
            LOG.warning(
                "standing as an owner changed",
                extra={
                    "event": "ownership_standing",
                    "standing": after.standing.value,
                },
            )
        return after

    def _apply_batch(
        self, state: leases.OwnershipState, batch: logservice.LogBatch
    ) -> leases.OwnershipState:
        after = replay.apply_batch(
            state,
            batch.start,
            batch.end,
            batch.records,
            self.board.incarnation,
            self._now_ms(),
        )
        if state.complete != after.complete:
            LOG.warning(
                "ownership replay changed its completeness",
                extra={
                    "event": "ownership_replay",
                    "complete": after.complete,
                    "next_offset": after.next_offset,
                },
            )
        return after

    async def _renew(self) -> None:
        sequence = 0
        while True:
            started_ms = self._now_ms()
            if self.board.ownership.value.caught_up:
                state = replay.note_sent(
                    self.board.ownership.value, sequence, started_ms
                )
                self.write(self.board.ownership, state)
                await self._append(
                    records.LeaseRecord(
                        self.board.vm, self.board.incarnation, sequence
                    )
                )
                sequence += 1
                due_ms = started_ms + leases.RENEWAL_INTERVAL_MS
                await anyio.sleep(max(0, due_ms - self._now_ms()) / 1000)
            else:
                await self.board.ownership.wait_change(
                    self.board.ownership.revision
                )

    async def _plan(self) -> None:
        while True:
            await self._wait_owners()
            state = self.board.ownership.value
            now_ms = self._now_ms()
            if not state.caught_up or now_ms >= state.held_until_ms:
                continue
            settled = self._make_site(now_ms, views.SETTLED_AFTER_MS)
            state = planner.plan_handover(state, settled)
            if state != self.board.ownership.value:
                self.write(self.board.ownership, state)
            release = planner.plan_release(state, settled)
            if release is not None:
                await self._announce("releasing", release, release.endpoints)
            if self._is_serving():
                await self._claim(now_ms)

    async def _claim(self, now_ms: int) -> None:
        claim = planner.plan_claim(
            self.board.ownership.value, self._make_site(now_ms, 0), now_ms
        )
        if claim is not None:
            await self._announce("claiming", claim, claim.endpoints)

    async def _wait_owners(self) -> None:
        """Wait until owners or the status changed, or for an interval.

        A release is followed by a claim at once. Renewals, which change the
        section far more often, start no plan.
        """
        owners = self.board.ownership.value.owners
        await blackboard.wait_any(
            self.board.ownership.meets(lambda it: it.owners is not owners),
            self.board.lifecycle.is_newer(self.board.lifecycle.revision),
            timeout_ms=PLAN_INTERVAL_MS,
        )

    def _is_serving(self) -> bool:
        status = self.board.lifecycle.value.status
        return status is membership_messages.VmStatus.SERVING

    def _make_site(self, now_ms: int, settled_ms: int) -> planner.Site:
        """Return the surroundings.

        :param settled_ms: for how long other VMs have to have served
        """
        view = self.board.membership.value
        state = self.board.ownership.value
        # A VM that is cut off from the log alone still says that it serves,
        # and would keep its place while nobody can take it.
        zones = {
            vm.vm: vm.availability_zone
            for vm in views.list_serving(view, now_ms)
            if now_ms - vm.serving_ms >= settled_ms
            and not leases.lacks_lease(state, vm.incarnation, now_ms)
        }
        if self.board.vm not in view.listed_leaving or not zones:
            zones[self.board.vm] = self.board.settings.vm.availability_zone
        configuration = self.board.configuration.value.configuration
        return planner.Site(
            vm=self.board.vm,
            incarnation=self.board.incarnation,
            endpoints=configuration.inventory.endpoints,
            vm_zones=zones,
            idle=self._list_idle(),
            stopping=self.board.lifecycle.value.stop_requested,
        )

    def _list_idle(self) -> set[str]:
        owned = leases.list_owned(
            self.board.ownership.value, self.board.incarnation
        )
        queues = self.board.dispatch.value.endpoints
        return {
            name
            for name in owned
            if name not in queues or queues[name].is_releasable
        }

    async def _copy(self) -> None:
        while True:
            copy = planner.plan_copy(
                self.board.ownership.value,
                self._make_site(self._now_ms(), 0),
                self._now_ms(),
            )
            if copy is not None:
                LOG.info(
                    "repeating ownership in the log",
                    extra={"event": "ownership_copy"},
                )
                await self._append(copy)
            await anyio.sleep(COPY_RETRY_MS / 1000)

    async def _announce(
        self, action: str, record: Any, endpoints: Any
    ) -> None:
        """Append a record and wait until the replay has passed it."""
        LOG.info(
            "%s endpoints",
            action,
            extra={"event": action, "endpoints": sorted(endpoints)},
        )
        offset = await self._append(record)
        if isinstance(offset, failures.Failure):
            return
        while self.board.ownership.value.next_offset <= offset:
            await self.board.ownership.wait_change(
                self.board.ownership.revision
            )

    async def _append(self, record: Any) -> int | failures.Failure:
        return await self.ports.log.append(records.STREAM, [record])
