"""Holds or watches the lease of the VM that gives orders."""

from __future__ import annotations

import logging

import anyio

from bronzetrack.core import blackboard
from bronzetrack.entry import leases
from bronzetrack.entry import roles
from bronzetrack.platform import names
from bronzetrack.platform import store as stores

LOG = logging.getLogger(__name__)
RETRY_S = 0.3


@roles.CONTROLLERS.register("leadership")
class LeadershipController(roles.Controller):
    """Appends to the lease log when it is due."""

    name = "leadership"

    async def run(self) -> None:
        """Decide, act and wait in turn."""
        while True:
            now = self.read_clock()
            lease = self.board.lease.value
            self._take_heartbeats(now)
            stopping = self.board.lifecycle.value.stopping_since is not None
            step, due = leases.decide_step(
                lease, now, self._measure_rank(now), stopping
            )
            if step is leases.Step.APPEND:
                await self._append(lease)
            else:
                await blackboard.wait_any(
                    self.board.membership.is_newer(
                        self.board.membership.revision
                    ),
                    timeout_ms=int(1000 * min(1.0, max(0.05, due - now))),
                )

    def _take_heartbeats(self, now: float) -> None:
        lease = self.board.lease.value
        for peer in self.board.membership.value.members.peers.values():
            if peer.lease_end > lease.end:
                lease.note_end(peer.lease_end, peer.holder, now)
                self.write(self.board.lease, lease)
            elif peer.lease_end == lease.end and not lease.holder:
                lease.holder = peer.holder

    def _measure_rank(self, now: float) -> int:
        alive = self.board.membership.value.members.list_alive(now)
        own = self.board.settings.vm
        return sum(1 for peer in alive if peer.vm < own and not peer.stopping)

    async def _read_last(self, lease: leases.Lease) -> None:
        """Look after the start whether this VM held the lease before."""
        try:
            batch = await self.ports.store.read(
                names.LEASE_TOPIC, lease.end - 1, 0.0
            )
        except stores.StoreError as error:
            LOG.warning(
                "the last record of the lease could not be read",
                extra={"event": "lease_failed", "detail": str(error)},
            )
            return
        own = self.board.settings.vm.encode()
        if batch.end == lease.end and batch.records[-1:] == [own]:
            lease.note_own_record(self.read_clock())

    async def _append(self, lease: leases.Lease) -> None:
        sent_at = self.read_clock()
        vm = self.board.settings.vm
        held = lease.is_held(sent_at)
        at = max(0, lease.end)
        try:
            offset = await self.ports.store.append(
                names.LEASE_TOPIC, [vm.encode()], at
            )
        except stores.OffsetConflictError as error:
            first = lease.end < 0
            lease.note_end(error.end, "", self.read_clock())
            if first:
                await self._read_last(lease)
        except stores.StoreError as error:
            LOG.warning(
                "the lease could not be renewed or taken",
                extra={"event": "lease_failed", "detail": str(error)},
            )
            await anyio.sleep(RETRY_S)
            return
        else:
            lease.note_renewed(offset, sent_at, vm)
            if not held:
                LOG.info(
                    "the lease was taken",
                    extra={"event": "lease_taken", "token": lease.token},
                )
        self.write(self.board.lease, lease)
