"""Controller that maintains the effective configuration."""

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
SNAPSHOT_CHECK_INTERVAL_MS = 10_000


@controllers.CONTROLLERS.register("configuration")
class ConfigurationController(controllers.Controller):
    """Replays the configuration stream and maintains the configuration.

    The controller appends snapshots of the configuration to the log. It sends
    the configuration to peers that cannot read the log, and fetches it from a
    peer when this VM is behind.
    """

    name = "configuration"

    async def run(self) -> None:
        self._transfer: transfers.Transfer | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._receive)
            group.start_soon(self._fetch_from_peers)
            group.start_soon(self._append_snapshots)

    @property
    def _state(self) -> states.ConfigurationState:
        return self.board.configuration.value

    def _set_state(self, state: states.ConfigurationState) -> None:
        previous_offset = self._state.configuration.offset
        self.write(self.board.configuration, state)
        if state.configuration.offset != previous_offset:
            LOG.info(
                "new configuration in effect",
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
                self._set_state(replay.record_failed_read(self._state))
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
                await self._handle_message(delivery.sender, delivery.message)

    async def _handle_message(self, sender: str, message: Any) -> None:
        match message:
            case messages.FetchConfiguration():
                await self._send_configuration(sender, message.offset)
            case messages.ConfigurationSnapshot():
                self._transfer = transfers.add_part(
                    self._transfer, sender, message
                )
                self._adopt_transfer()

    async def _send_configuration(self, sender: str, offset: int) -> None:
        state = self._state
        has_configuration = state.configuration.offset != states.NO_OFFSET
        if not state.complete or not has_configuration:
            return
        if state.configuration.offset < offset:
            return
        data = await _encode(state.configuration)
        for part in transfers.split_configuration(state, data):
            self.ports.peers.send(sender, part)

    def _adopt_transfer(self) -> None:
        transfer = self._transfer
        if transfer is None or transfer.data is None:
            return
        self._transfer = None
        decoded = documents.decode_configuration(transfer.data)
        if isinstance(decoded, failures.Failure):
            LOG.warning(
                "rejected an invalid configuration from a peer",
                extra={
                    "event": "bad_configuration",
                    "peer": transfer.sender,
                    "detail": decoded.detail,
                },
            )
            return
        self._set_state(
            replay.adopt_configuration(self._state, decoded, transfer.through)
        )

    async def _fetch_from_peers(self) -> None:
        """Fetch the configuration from peers while this VM is behind them.

        The first request is sent after a peer has been ahead for
        `FETCH_DELAY_MS`. Requests are at least `FETCH_INTERVAL_MS` apart.
        """
        request_count = 0
        behind_since_ms = requested_ms = None
        while True:
            await anyio.sleep(CHECK_INTERVAL_MS / 1000)
            now_ms = self.read_clock().monotonic_ms
            source = transfers.choose_source(
                self._state, self._list_peer_offsets(now_ms), request_count
            )
            if source is None:
                behind_since_ms = None
                continue
            behind_since_ms = (
                now_ms if behind_since_ms is None else behind_since_ms
            )
            if now_ms - behind_since_ms < transfers.FETCH_DELAY_MS:
                continue
            if requested_ms is None or (
                now_ms - requested_ms >= transfers.FETCH_INTERVAL_MS
            ):
                requested_ms = now_ms
                request_count += 1
                self.ports.peers.send(
                    source,
                    messages.FetchConfiguration(
                        self._state.configuration.offset
                    ),
                )

    def _list_peer_offsets(self, now_ms: int) -> dict[str, int]:
        return {
            vm: state.configuration_offset
            for vm, state in self.board.membership.value.vms.items()
            if views.is_reachable(state, now_ms)
        }

    async def _append_snapshots(self) -> None:
        while True:
            await anyio.sleep(SNAPSHOT_CHECK_INTERVAL_MS / 1000)
            now_ms = self.read_clock().monotonic_ms
            rank = self._compute_rank(now_ms)
            if replay.is_snapshot_due(self._state, rank, now_ms):
                await self._append_snapshot(self._state)

    def _compute_rank(self, now_ms: int) -> int:
        serving = views.list_serving(self.board.membership.value, now_ms)
        return sum(vm.vm < self.board.vm for vm in serving)

    async def _append_snapshot(self, state: states.ConfigurationState) -> None:
        LOG.info(
            "appending a snapshot of the configuration to the log",
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
