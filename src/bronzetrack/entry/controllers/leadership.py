"""Controller that acquires, renews or observes the lease.

The holder of the lease is the VM that gives orders to the engines.
"""

from __future__ import annotations

import logging

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core import positions
from bronzetrack.core.eventtypes import leases as lease_events
from bronzetrack.entry import leases
from bronzetrack.entry import roles
from bronzetrack.entry.peering import peers
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
# Delay after a failed call of the store.
RETRY_S = 0.3


@roles.CONTROLLERS.register("leadership")
class LeadershipController(roles.Controller):
    """Acquires, renews and releases the lease, and tracks its holder."""

    name = "leadership"

    async def run(self) -> None:
        """Decide on a step and carry it out, until cancelled."""
        while True:
            now = self.read_clock()
            lease = self.board.lease.value
            self._apply_era(lease, now)
            self._apply_report(now)
            self._apply_refusals(lease)
            if lease.mark_lapsed(now):
                self.write(self.board.lease, lease)
                logevents.log(LOG, lease_events.LeaseLapsed(lease.token))
            step, due = leases.decide_step(
                lease, self._make_step_conditions(now), now
            )
            match step:
                case leases.Step.APPEND:
                    await self._append(lease)
                case leases.Step.READ:
                    await self._read_last_record(lease)
                case leases.Step.RELEASE:
                    await self._release(lease)
                case leases.Step.WAIT:
                    await self._wait(due - now)

    async def _wait(self, delay_s: float) -> None:
        board = self.board
        await blackboard.wait_any(
            board.membership.is_newer(board.membership.revision),
            board.lifecycle.is_newer(board.lifecycle.revision),
            board.store_era.is_newer(board.store_era.revision),
            board.refused_tokens.is_not_empty(),
            timeout_ms=int(1000 * min(1.0, max(0.05, delay_s))),
        )

    def _apply_era(self, lease: leases.Lease, now: float) -> bool:
        """Note that the store was restored, as it or another VM tells.

        :returns: whether this was not known
        """
        report = self.board.membership.value.lease_report
        era = max(
            self.board.store_era.value.number, positions.get_era(report.end)
        )
        is_new = lease.end >= 0 and era > positions.get_era(lease.end)
        if is_new:
            lease.enter_era(era, now)
            self.write(self.board.lease, lease)
        return is_new

    def _apply_report(self, now: float) -> None:
        """Apply what other VMs report of the lease."""
        lease = self.board.lease.value
        report = self.board.membership.value.lease_report
        newer = report.end > lease.end
        lease.update_end(report.end, report.holder, now, report.released)
        if newer:
            self.write(self.board.lease, lease)

    def _apply_refusals(self, lease: leases.Lease) -> None:
        """Relinquish the lease if an engine refused its fencing token.

        The mailbox holds the tokens that engines refused as too old.
        """
        for token in self.board.refused_tokens.take():
            if token == lease.token:
                lease.relinquish()

    def _make_step_conditions(self, now: float) -> leases.StepConditions:
        settings = self.board.settings
        peer_table = self.board.membership.value.peer_table
        alive = peer_table.list_alive(now)
        holder = peer_table.peers.get(self.board.lease.value.holder)
        return leases.StepConditions(
            rank=peers.compute_rank(settings.vm, alive),
            stopping=self.board.lifecycle.value.stopping_since is not None,
            engines_check_tokens=settings.engines_check_tokens,
            has_successor=any(
                peer.ready and not peer.stopping for peer in alive
            ),
            holder_silent=bool(alive)
            and holder is not None
            and not holder.is_alive(now),
        )

    async def _read_last_record(self, lease: leases.Lease) -> None:
        """Read the last record after the start of this VM, or in a new era.

        The record shows whether another VM may hold the lease.
        """
        era = positions.get_era(lease.end)
        try:
            batch = await self._read_end(lease)
        except stores.RecordsExpiredError as error:
            if era == self.board.store_era.value.number and lease.is_end_known:
                # No record is left to read.
                lease.checked = True
            else:
                await self._back_off(error)
            return
        except stores.StoreError as error:
            await self._back_off(error)
            return
        last_record = batch.records[-1] if batch.records else b""
        own = names.encode_lease_record(self._own_record, era)
        in_era = names.is_of_era(last_record, era)
        if in_era and last_record != own and not lease.is_proven:
            # Another VM has taken the lease in this era.
            lease.relinquish()
        lease.apply_last_record(
            batch.end,
            last_record == own,
            last_record
            == names.encode_lease_record(names.LEASE_RELEASED, era),
            self.read_clock(),
            in_era,
        )
        self.write(self.board.lease, lease)

    async def _read_end(self, lease: leases.Lease) -> stores.Batch:
        """Read the last record, or all that are retained after a restore.

        :raises stores.StoreError: a call failed
        """
        start = positions.make_position(positions.get_era(lease.end), 0)
        first = max(start, lease.end - 1)
        try:
            return await self.ports.store.read(names.LEASE_TOPIC, first, 0.0)
        except stores.RecordsExpiredError as error:
            if lease.is_end_known or error.first is None:
                raise
            return await self.ports.store.read(
                names.LEASE_TOPIC, error.first, 0.0
            )

    @property
    def _own_record(self) -> bytes:
        """Record of this VM in the lease log, without an era."""
        return self.board.settings.vm.encode()

    async def _back_off(self, error: stores.StoreError) -> None:
        """Log a failed call and wait before the next one."""
        logevents.log(LOG, lease_events.LeaseCallFailed(str(error)))
        await anyio.sleep(RETRY_S)

    async def _release(self, lease: leases.Lease) -> None:
        """Release the lease so that another VM can acquire it early."""
        lease.relinquish()
        try:
            offset = await self.ports.store.append(
                names.LEASE_TOPIC,
                [self._encode(names.LEASE_RELEASED)],
                lease.end,
            )
        except stores.StoreError as error:
            # The lease lapses on its own.
            logevents.log(LOG, lease_events.LeaseCallFailed(str(error)))
            return
        lease.update_end(offset + 1, "", self.read_clock(), released=True)
        self.write(self.board.lease, lease)
        logevents.log(LOG, lease_events.LeaseReleased(lease.token))

    async def _append(self, lease: leases.Lease) -> None:
        sent_at = self.read_clock()
        record = self._encode(self._own_record)
        expected_end = max(positions.Position(0), lease.end)
        try:
            offset = await self.ports.store.append(
                names.LEASE_TOPIC, [record], expected_end
            )
        except stores.OffsetConflictError as error:
            now = self.read_clock()
            # After a restore, the last record tells more than the end.
            if not self._apply_era(lease, now):
                lease.update_end(error.end, "", now)
        except stores.StoreError as error:
            await self._back_off(error)
            return
        else:
            self._apply_append(lease, offset, sent_at)
        self.write(self.board.lease, lease)

    def _apply_append(
        self, lease: leases.Lease, offset: positions.Position, sent_at: float
    ) -> None:
        """Take or renew the lease unless the store may have been restored."""
        checks_tokens = self.board.settings.engines_check_tokens
        if lease.is_stray(offset, checks_tokens):
            lease.apply_stray_record(offset, self.read_clock())
            return
        held = lease.is_held(sent_at)
        lease.apply_renewal(offset, sent_at, self.board.settings.vm)
        if not held:
            logevents.log(LOG, lease_events.LeaseTaken(lease.token))

    def _encode(self, text: bytes) -> bytes:
        """Return a record of the lease log in the present era."""
        return names.encode_lease_record(
            text, self.board.store_era.value.number
        )
