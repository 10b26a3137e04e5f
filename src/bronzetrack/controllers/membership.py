"""Keeps the view of the other VMs and tells them of this one."""

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

LIST_INTERVAL_MS = 2_000
RECONNECT_MS = 500
# A region that was cut off for minutes finds the others again.
FORGET_MS = 600_000


@controllers.CONTROLLERS.register("membership")
class MembershipController(controllers.Controller):
    """Handles heartbeats, sessions and the platform's list of VMs."""

    name = "membership"

    async def run(self) -> None:
        self._connecting: set[str] = set()
        self._listed: set[str] = set()
        self._heard: dict[str, int] = {}
        self._last: messages.Heartbeat | None = None
        self._carried: dict[str, int] = {}
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive)
            group.start_soon(self._send_heartbeats)
            group.start_soon(self._read_list)
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
                self._heard[message.peer_address] = now_ms
                return views.record_hello(view, message, now_ms)
            case messages.Heartbeat():
                return views.record_heartbeat(view, message, now_ms)
            case messages.HeartbeatChanges():
                return self._apply_changes(view, message, now_ms)
            case messages.FetchHeartbeat():
                self._send_whole(message.vm)
            case messages.SessionOpened():
                self._carried.pop(message.vm, None)
                return views.record_session(
                    view, message.vm, message.incarnation, True
                )
            case messages.SessionClosed():
                self._carried.pop(message.vm, None)
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
        if views.lacks_base(view, message):
            fetch = messages.FetchHeartbeat(self.board.vm)
            self.ports.peers.send(message.vm, fetch)
        return views.record_changes(view, message, now_ms)

    def _send_whole(self, vm: str) -> None:
        """Send the last heartbeat again, which the next changes build on."""
        last = self._last
        if last is not None and self.ports.peers.send(vm, last):
            self._carried[vm] = last.number

    def _send_heartbeat(self) -> None:
        before = self._last
        number = 1 if before is None else before.number + 1
        heartbeat = summaries.make_heartbeat(
            self.board, number, self.read_clock().monotonic_ms
        )
        beat = changes.plan_beat(
            before,
            heartbeat,
            self._carried,
            self.ports.peers.list_sessions(),
            {
                name
                for name, state in self.board.membership.value.vms.items()
                if state.reads_changes
            },
        )
        sent = self.ports.peers.send_each(beat.whole, heartbeat)
        if beat.changes is not None:
            sent |= self.ports.peers.send_each(beat.partial, beat.changes)
        self._carried = dict.fromkeys(sent, number)
        self._last = heartbeat

    async def _send_heartbeats(self) -> None:
        revision = -1
        while True:
            self._send_heartbeat()
            self._expire()
            # A change of status is told at once, so that a leaving VM gets
            # no new work for the rest of the interval.
            await blackboard.wait_any(
                self.board.lifecycle.is_newer(revision),
                timeout_ms=views.HEARTBEAT_INTERVAL_MS,
            )
            revision = self.board.lifecycle.revision

    def _expire(self) -> None:
        """Forget silent VMs; a VM that comes back has to greet again."""
        before = self.board.membership.value
        now_ms = self.read_clock().monotonic_ms
        view = views.expire_vms(before, now_ms)
        for vm in before.vms.keys() - view.vms.keys():
            self.ports.peers.close(vm)
        if view is not before:
            self.write(self.board.membership, view)

    async def _read_list(self) -> None:
        while True:
            listed = await self.ports.vms.list_vms()
            if not isinstance(listed, failures.Failure):
                self._listed = {row.address for row in listed} - {""}
                leaving = frozenset(row.name for row in listed if row.leaving)
                view = self.board.membership.value
                after = views.record_list(view, leaving)
                if after is not view:
                    self.write(self.board.membership, after)
            await anyio.sleep(LIST_INTERVAL_MS / 1000)

    async def _open_sessions(self, group: Any) -> None:
        while True:
            for address in self._list_wanted():
                self._connecting.add(address)
                group.start_soon(self._connect, address)
            await anyio.sleep(RECONNECT_MS / 1000)

    def _list_wanted(self) -> set[str]:
        """Return the addresses to connect to.

        VMs are replaced all the time, so that addresses that nobody has
        greeted from for long are dropped unless they are listed.
        """
        now_ms = self.read_clock().monotonic_ms
        for vm in self.board.membership.value.vms.values():
            self._heard[vm.peer_address] = vm.heard_ms
        self._heard = {
            address: heard_ms
            for address, heard_ms in self._heard.items()
            if now_ms - heard_ms < FORGET_MS
        }
        known = self._heard.keys() | self._listed
        known |= set(self.board.settings.peers.join)
        known -= set(self.ports.peers.list_sessions().values())
        settings = self.board.settings
        own = {settings.listen.peers, settings.peers.address}
        return known - self._connecting - own

    async def _connect(self, address: str) -> None:
        try:
            await self.ports.peers.connect(address)
        finally:
            self._connecting.discard(address)
