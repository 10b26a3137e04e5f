"""Holds the lease of this VM and claims endpoints."""

from __future__ import annotations

import logging

import anyio
import attrs

from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.membership import messages as membership_messages
from bronzetrack.membership import view as views
from bronzetrack.ownership import leases
from bronzetrack.ownership import planner
from bronzetrack.ownership import records
from bronzetrack.platform import follower
from bronzetrack.platform import logservice

LOG = logging.getLogger(__name__)
PLAN_INTERVAL_MS = 500


@controllers.CONTROLLERS.register("ownership")
class OwnershipController(controllers.Controller):
    """Replays the ownership stream, renews the lease, claims, releases."""

    name = "ownership"

    async def run(self) -> None:
        self._sent: dict[int, int] = {}
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._renew)
            group.start_soon(self._claim)

    async def _follow(self) -> None:
        batches = follower.follow_stream(self.ports.log, records.STREAM)
        async for batch in batches:
            if not isinstance(batch, failures.Failure):
                self._apply_batch(batch)

    def _apply_batch(self, batch: logservice.LogBatch) -> None:
        now_ms = self.read_clock().monotonic_ms
        state = self.board.ownership.value
        for offset, record in batch.records:
            state = leases.apply_record(state, offset, record, now_ms)
            if self._is_own_renewal(record):
                held_ms = self._sent.pop(record.sequence) + leases.LEASE_MS
                state = attrs.evolve(
                    state, held_until_ms=max(state.held_until_ms, held_ms)
                )
        caught_up = state.caught_up or state.next_offset >= batch.end
        state = attrs.evolve(state, caught_up=caught_up)
        self.write(self.board.ownership, state)

    def _is_own_renewal(self, record: object) -> bool:
        return (
            isinstance(record, records.LeaseRecord)
            and record.incarnation == self.board.incarnation
            and record.sequence in self._sent
        )

    async def _renew(self) -> None:
        sequence = 0
        while True:
            # The lease counts from before the append, so that it ends here
            # before any reader of the record sees it end.
            self._sent[sequence] = self.read_clock().monotonic_ms
            record = records.LeaseRecord(
                self.board.vm, self.board.incarnation, sequence
            )
            await self.ports.log.append(records.STREAM, [record])
            sequence += 1
            await anyio.sleep(leases.RENEWAL_INTERVAL_MS / 1000)

    async def _claim(self) -> None:
        while True:
            await anyio.sleep(PLAN_INTERVAL_MS / 1000)
            state = self.board.ownership.value
            now_ms = self.read_clock().monotonic_ms
            if not state.caught_up or now_ms >= state.held_until_ms:
                continue
            if self.board.lifecycle.value.stop_requested:
                await self._release_idle()
                continue
            if self._is_serving():
                await self._claim_free(state, now_ms)

    def _is_serving(self) -> bool:
        status = self.board.lifecycle.value.status
        return status is membership_messages.VmStatus.SERVING

    async def _claim_free(
        self, state: leases.OwnershipState, now_ms: int
    ) -> None:
        inventory = self.board.configuration.value.configuration.inventory
        zones = {
            vm.vm: vm.availability_zone
            for vm in views.list_serving(self.board.membership.value, now_ms)
        }
        zones[self.board.vm] = self.board.settings.vm.availability_zone
        plan = planner.plan_claims(
            state, inventory.endpoints, zones, self.board.vm, now_ms
        )
        if not plan.endpoints:
            return
        LOG.info(
            "claiming endpoints",
            extra={"event": "claim", "endpoints": list(plan.endpoints)},
        )
        record = records.ClaimRecord(
            self.board.vm,
            self.board.incarnation,
            plan.endpoints,
            dict(plan.lapsed),
        )
        await self._append_and_wait(record)

    async def _release_idle(self) -> None:
        dispatch = self.board.dispatch.value
        owned = leases.list_owned(
            self.board.ownership.value, self.board.incarnation
        )
        idle = tuple(
            name
            for name in owned
            if name not in dispatch.endpoints
            or not dispatch.endpoints[name].is_busy
        )
        if idle:
            record = records.ReleaseRecord(
                self.board.vm, self.board.incarnation, idle
            )
            await self._append_and_wait(record)

    async def _append_and_wait(self, record: object) -> None:
        """Append a record and wait until the replay has passed it."""
        offset = await self.ports.log.append(records.STREAM, [record])
        if isinstance(offset, failures.Failure):
            return
        while self.board.ownership.value.next_offset <= offset:
            await self.board.ownership.wait_change(
                self.board.ownership.revision
            )
