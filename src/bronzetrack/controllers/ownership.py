"""Controller of the lease of this VM and of its claims of endpoints."""

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
# The interval has to be shorter than the clock margin after a lease, since a
# successor may claim when that margin has passed.
STANDING_CHECK_INTERVAL_MS = 250
# A snapshot that could not be appended is retried after this time.
SNAPSHOT_RETRY_MS = 5_000


@controllers.CONTROLLERS.register("ownership")
class OwnershipController(controllers.Controller):
    """Replays the ownership stream and maintains the ownership of this VM.

    The controller renews the lease, claims and releases endpoints, and appends
    snapshots or resets of the ownership to the log.
    """

    name = "ownership"

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._renew_lease)
            group.start_soon(self._plan)
            group.start_soon(self._check_standing)
            group.start_soon(self._append_snapshots)

    def _now_ms(self) -> int:
        return self.read_clock().monotonic_ms

    async def _follow(self) -> None:
        batches = follower.follow_position(
            self.ports.log,
            records.STREAM,
            lambda: self.board.ownership.value.next_offset,
            is_probe=True,
        )
        async for batch in batches:
            state = self.board.ownership.value
            if isinstance(batch, failures.Failure):
                state = replay.record_outage(state, self._now_ms())
                state = self._update_standing(state)
            else:
                state = self._apply_batch(state, batch)
            self.write(self.board.ownership, state)

    async def _check_standing(self) -> None:
        """Update the standing periodically while the log is unreachable."""
        while True:
            await blackboard.wait_any(
                self.board.ownership.satisfies(lambda it: not it.log_reachable)
            )
            state = self._update_standing(self.board.ownership.value)
            if state is not self.board.ownership.value:
                self.write(self.board.ownership, state)
            await anyio.sleep(STANDING_CHECK_INTERVAL_MS / 1000)

    def _update_standing(
        self, state: leases.OwnershipState
    ) -> leases.OwnershipState:
        now_ms = self._now_ms()
        claimants = views.list_claimants(
            self.board.membership.value,
            leases.list_owned(state, self.board.incarnation),
            now_ms,
        )
        after = standing.update_standing(
            state, self.board.vm, claimants, now_ms
        )
        if after.standing is not state.standing:
            LOG.warning(
                "ownership standing changed",
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
                "completeness of the ownership replay changed",
                extra={
                    "event": "ownership_replay",
                    "complete": after.complete,
                    "next_offset": after.next_offset,
                },
            )
        return after

    async def _renew_lease(self) -> None:
        sequence = 0
        while True:
            started_ms = self._now_ms()
            if self.board.ownership.value.caught_up:
                state = replay.record_renewal(
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
            await self._wait_for_change()
            state = self.board.ownership.value
            now_ms = self._now_ms()
            if not state.caught_up or now_ms >= state.held_until_ms:
                continue
            planner_input = self._make_planner_input(
                now_ms, views.JOIN_DELAY_MS
            )
            state = planner.plan_handover(state, planner_input)
            if state != self.board.ownership.value:
                self.write(self.board.ownership, state)
            release = planner.plan_release(state, planner_input)
            if release is not None:
                await self._append_and_wait(
                    "releasing", release, release.endpoints
                )
            if self._is_serving():
                await self._claim(now_ms)

    async def _claim(self, now_ms: int) -> None:
        claim = planner.plan_claim(
            self.board.ownership.value,
            self._make_planner_input(now_ms, 0),
            now_ms,
        )
        if claim is not None:
            await self._append_and_wait("claiming", claim, claim.endpoints)

    async def _wait_for_change(self) -> None:
        """Wait until the owners or the status change, or for an interval.

        A release can thereby be followed by a claim at once. Lease renewals
        change the section far more often, and do not end the wait.
        """
        owners = self.board.ownership.value.owners
        await blackboard.wait_any(
            self.board.ownership.satisfies(lambda it: it.owners is not owners),
            self.board.lifecycle.is_newer(self.board.lifecycle.revision),
            timeout_ms=PLAN_INTERVAL_MS,
        )

    def _is_serving(self) -> bool:
        status = self.board.lifecycle.value.status
        return status is membership_messages.VmStatus.SERVING

    def _make_planner_input(
        self, now_ms: int, min_serving_ms: int
    ) -> planner.PlannerInput:
        """Return the input of the planner.

        :param min_serving_ms: time that another VM has to have been serving
            to be considered
        """
        view = self.board.membership.value
        state = self.board.ownership.value
        # A VM that cannot reach the log but reaches its peers still reports
        # that it is serving. It would stay the chosen owner of endpoints that
        # it cannot claim and that no other VM would claim.
        zones = {
            vm.vm: vm.availability_zone
            for vm in views.list_serving(view, now_ms)
            if now_ms - vm.serving_ms >= min_serving_ms
            and not leases.lacks_lease(state, vm.incarnation, now_ms)
        }
        if self.board.vm not in view.listed_leaving or not zones:
            zones[self.board.vm] = self.board.settings.vm.availability_zone
        configuration = self.board.configuration.value.configuration
        return planner.PlannerInput(
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

    async def _append_snapshots(self) -> None:
        while True:
            record = planner.plan_snapshot(
                self.board.ownership.value,
                self._make_planner_input(self._now_ms(), 0),
                self._now_ms(),
            )
            if record is not None:
                LOG.info(
                    "appending an ownership snapshot or reset to the log",
                    extra={"event": "ownership_copy"},
                )
                await self._append(record)
            await anyio.sleep(SNAPSHOT_RETRY_MS / 1000)

    async def _append_and_wait(
        self, action: str, record: Any, endpoints: Any
    ) -> None:
        """Append a claim or release and wait until the replay has read it.

        :param action: name of the log event
        """
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
