"""Keeps the configuration in force."""

from __future__ import annotations

import logging
from typing import Any

import anyio

from bronzetrack.configuration import messages
from bronzetrack.configuration import records
from bronzetrack.configuration import replay
from bronzetrack.configuration import state as states
from bronzetrack.configuration import transfer as transfers
from bronzetrack.core import controllers
from bronzetrack.core import failures
from bronzetrack.logservice import follower
from bronzetrack.membership import view as views
from bronzetrack.wire import documents

LOG = logging.getLogger(__name__)
CHECK_INTERVAL_MS = 1_000
COPY_RETRY_MS = 10_000


@controllers.CONTROLLERS.register("configuration")
class ConfigurationController(controllers.Controller):
    """Replays the publications, copies them, and helps peers without log."""

    name = "configuration"

    async def run(self) -> None:
        self._transfer: transfers.Transfer | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._receive)
            group.start_soon(self._fetch)
            group.start_soon(self._copy)

    @property
    def _state(self) -> states.ConfigurationState:
        return self.board.configuration.value

    def _set_state(self, state: states.ConfigurationState) -> None:
        before = self._state.configuration.offset
        self.write(self.board.configuration, state)
        if state.configuration.offset != before:
            LOG.info(
                "configuration in force",
                extra={
                    "event": "configuration_in_force",
                    "offset": state.configuration.offset,
                },
            )

    async def _follow(self) -> None:
        batches = follower.follow_position(
            self.ports.log, records.STREAM, lambda: self._state.next_offset
        )
        async for batch in batches:
            if isinstance(batch, failures.Failure):
                self._set_state(replay.note_failure(self._state))
                continue
            self._set_state(
                replay.apply_batch(
                    self._state,
                    batch.start,
                    batch.end,
                    batch.records,
                    documents,
                    self.read_clock().monotonic_ms,
                )
            )

    async def _receive(self) -> None:
        mailbox = self.board.mailboxes["configuration"]
        while True:
            await mailbox.wait_items()
            for delivery in mailbox.take():
                await self._handle(delivery.sender, delivery.message)

    async def _handle(self, sender: str, message: Any) -> None:
        match message:
            case messages.FetchConfiguration():
                await self._answer(sender, message.offset)
            case messages.ConfigurationSnapshot():
                self._transfer = transfers.add_part(
                    self._transfer, sender, message
                )
                self._adopt()

    async def _answer(self, sender: str, offset: int) -> None:
        state = self._state
        configured = state.configuration.offset != states.NO_OFFSET
        if not state.complete or not configured:
            return
        if state.configuration.offset < offset:
            return
        data = await _encode(state.configuration)
        for part in transfers.split(state, data):
            self.ports.peers.send(sender, part)

    def _adopt(self) -> None:
        transfer = self._transfer
        if transfer is None or transfer.data is None:
            return
        self._transfer = None
        found = documents.decode_configuration(transfer.data)
        if isinstance(found, failures.Failure):
            LOG.warning(
                "peer sent a bad configuration",
                extra={
                    "event": "bad_configuration",
                    "peer": transfer.sender,
                    "detail": found.detail,
                },
            )
            return
        self._set_state(replay.adopt(self._state, found, transfer.through))

    async def _fetch(self) -> None:
        """Ask peers while they have had a newer offset for some time."""
        tries = 0
        behind_ms = asked_ms = None
        while True:
            await anyio.sleep(CHECK_INTERVAL_MS / 1000)
            now_ms = self.read_clock().monotonic_ms
            source = transfers.choose_source(
                self._state, self._list_offsets(now_ms), tries
            )
            if source is None:
                behind_ms = None
                continue
            behind_ms = now_ms if behind_ms is None else behind_ms
            if now_ms - behind_ms < transfers.FETCH_AFTER_MS:
                continue
            if asked_ms is None or (
                now_ms - asked_ms >= transfers.FETCH_INTERVAL_MS
            ):
                asked_ms = now_ms
                tries += 1
                self.ports.peers.send(
                    source,
                    messages.FetchConfiguration(
                        self._state.configuration.offset
                    ),
                )

    def _list_offsets(self, now_ms: int) -> dict[str, int]:
        return {
            vm: state.configuration_offset
            for vm, state in self.board.membership.value.vms.items()
            if views.is_reachable(state, now_ms)
        }

    async def _copy(self) -> None:
        while True:
            await anyio.sleep(COPY_RETRY_MS / 1000)
            now_ms = self.read_clock().monotonic_ms
            rank = self._get_rank(now_ms)
            if replay.is_copy_due(self._state, rank, now_ms):
                await self._append_copy(self._state)

    def _get_rank(self, now_ms: int) -> int:
        serving = views.list_serving(self.board.membership.value, now_ms)
        return sum(vm.vm < self.board.vm for vm in serving)

    async def _append_copy(self, state: states.ConfigurationState) -> None:
        LOG.info(
            "repeating the configuration in the log",
            extra={"event": "configuration_copy"},
        )
        configuration = state.configuration
        record = records.SnapshotRecord(
            offset=configuration.offset,
            through=state.next_offset,
            data=await _encode(configuration),
        )
        await self.ports.log.append(records.STREAM, [record])


async def _encode(configuration: states.Configuration) -> bytes:
    pieces = []
    for piece in documents.encode_configuration(configuration):
        pieces.append(piece)
        await anyio.sleep(0)
    return b"".join(pieces)
