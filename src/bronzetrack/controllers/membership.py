"""Controller that maintains the membership view.

It also sends the heartbeats of this VM to the other VMs.
"""

from __future__ import annotations

from typing import Any

import anyio

from bronzetrack.core import blackboard
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.membership import changes
from bronzetrack.membership import messages
from bronzetrack.membership import summaries
from bronzetrack.membership import view as views

LIST_POLL_INTERVAL_MS = 2_000
RECONNECT_INTERVAL_MS = 500
# Addresses are kept long enough that a region reconnects to the others after
# it was partitioned for minutes.
ADDRESS_TTL_MS = 600_000


@controllers.CONTROLLERS.register("membership")
class MembershipController(controllers.Controller):
    """Handles heartbeats, sessions and the platform's list of VMs."""

    name = "membership"

    async def run(self) -> None:
        self._connecting: set[str] = set()
        self._listed_addresses: set[str] = set()
        self._last_contact_ms: dict[str, int] = {}
        self._last_heartbeat: messages.Heartbeat | None = None
        self._last_sent_numbers: dict[str, int] = {}
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive)
            group.start_soon(self._send_heartbeats)
            group.start_soon(self._poll_vm_list)
            group.start_soon(self._open_sessions, group)

    async def _receive(self) -> None:
        mailbox = self.board.mailboxes["membership"]
        while True:
            await mailbox.wait_items()
            view = self.board.membership.value
            now_ms = self.read_clock().monotonic_ms
            for delivery in mailbox.take():
                if delivery.message.vm == delivery.sender:
                    view = self._apply_message(view, delivery.message, now_ms)
            self.write(self.board.membership, view)

    def _apply_message(
        self, view: views.MembershipView, message: Any, now_ms: int
    ) -> views.MembershipView:
        match message:
            case messages.Hello():
                self._last_contact_ms[message.peer_address] = now_ms
                return views.record_hello(view, message, now_ms)
            case messages.Heartbeat():
                return views.record_heartbeat(view, message, now_ms)
            case messages.HeartbeatChanges():
                return self._apply_changes(view, message, now_ms)
            case messages.FetchHeartbeat():
                self._send_full_heartbeat(message.vm)
            case messages.SessionOpened():
                self._last_sent_numbers.pop(message.vm, None)
                return views.record_session(
                    view, message.vm, message.incarnation, True
                )
            case messages.SessionClosed():
                self._last_sent_numbers.pop(message.vm, None)
                return views.record_session(
                    view, message.vm, message.incarnation, False
                )
        return view

    def _apply_changes(
        self,
        view: views.MembershipView,
        message: messages.HeartbeatChanges,
        now_ms: int,
    ) -> views.MembershipView:
        if views.needs_whole_heartbeat(view, message):
            request = messages.FetchHeartbeat(self.board.vm)
            self.ports.peers.send(message.vm, request)
        return views.record_changes(view, message, now_ms)

    def _send_full_heartbeat(self, vm: str) -> None:
        """Resend the last full heartbeat to a VM.

        It is the base of the next changes.
        """
        last = self._last_heartbeat
        if last is not None and self.ports.peers.send(vm, last):
            self._last_sent_numbers[vm] = last.number

    def _send_heartbeat(self) -> None:
        before = self._last_heartbeat
        number = 1 if before is None else before.number + 1
        heartbeat = summaries.make_heartbeat(
            self.board, number, self.read_clock().monotonic_ms
        )
        plan = changes.plan_heartbeat(
            before,
            heartbeat,
            self._last_sent_numbers,
            self.ports.peers.list_sessions(),
            {
                name
                for name, state in self.board.membership.value.vms.items()
                if state.reads_changes
            },
        )
        sent = self.ports.peers.send_to_all(plan.whole, heartbeat)
        if plan.changes is not None:
            sent |= self.ports.peers.send_to_all(plan.as_changes, plan.changes)
        self._last_sent_numbers = dict.fromkeys(sent, number)
        self._last_heartbeat = heartbeat

    async def _send_heartbeats(self) -> None:
        revision = -1
        while True:
            self._send_heartbeat()
            self._remove_expired()
            # A change of status is sent at once, so that a leaving VM gets
            # no new work for the rest of the interval.
            await blackboard.wait_any(
                self.board.lifecycle.is_newer(revision),
                timeout_ms=views.HEARTBEAT_INTERVAL_MS,
            )
            revision = self.board.lifecycle.revision

    def _remove_expired(self) -> None:
        """Remove VMs without recent heartbeats, and close their sessions.

        A VM that comes back has to send a `Hello` again.
        """
        before = self.board.membership.value
        now_ms = self.read_clock().monotonic_ms
        view = views.expire_vms(before, now_ms)
        for vm in before.vms.keys() - view.vms.keys():
            self.ports.peers.close(vm)
        if view is not before:
            self.write(self.board.membership, view)

    async def _poll_vm_list(self) -> None:
        while True:
            listed = await self.ports.vms.list_vms()
            if not isinstance(listed, failures.Failure):
                self._listed_addresses = {row.address for row in listed} - {""}
                leaving = frozenset(row.name for row in listed if row.leaving)
                view = self.board.membership.value
                after = views.record_vm_list(view, leaving)
                if after is not view:
                    self.write(self.board.membership, after)
            await anyio.sleep(LIST_POLL_INTERVAL_MS / 1000)

    async def _open_sessions(self, group: Any) -> None:
        while True:
            for address in self._list_connection_targets():
                self._connecting.add(address)
                group.start_soon(self._connect, address)
            await anyio.sleep(RECONNECT_INTERVAL_MS / 1000)

    def _list_connection_targets(self) -> set[str]:
        """Return the addresses to connect to.

        VMs are replaced all the time. An address from which no message has
        arrived for `ADDRESS_TTL_MS` is therefore dropped, unless the platform
        or the settings list it.
        """
        now_ms = self.read_clock().monotonic_ms
        for vm in self.board.membership.value.vms.values():
            self._last_contact_ms[vm.peer_address] = vm.heard_ms
        self._last_contact_ms = {
            address: heard_ms
            for address, heard_ms in self._last_contact_ms.items()
            if now_ms - heard_ms < ADDRESS_TTL_MS
        }
        targets = self._last_contact_ms.keys() | self._listed_addresses
        targets |= set(self.board.settings.peers.join)
        targets -= set(self.ports.peers.list_sessions().values())
        settings = self.board.settings
        own_addresses = {settings.listen.peers, settings.peers.address}
        return targets - self._connecting - own_addresses

    async def _connect(self, address: str) -> None:
        try:
            await self.ports.peers.connect(address)
        finally:
            self._connecting.discard(address)
