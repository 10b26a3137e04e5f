"""Controller of the status of this VM.

The VM starts to serve when it is ready, and shuts down gracefully without
interrupting a request.
"""

from __future__ import annotations

import logging
import signal

import anyio

from bronzetrack.configuration import state as configuration_state
from bronzetrack.core import blackboard
from bronzetrack.core import controllers
from bronzetrack.core import signalreceiver
from bronzetrack.membership import lifecycle
from bronzetrack.membership import messages

LOG = logging.getLogger(__name__)
STEP_INTERVAL_MS = 100
# This many consecutive failed reads count as an outage of the log.
OUTAGE_FAILED_READS = 3


@controllers.CONTROLLERS.register("lifecycle")
class LifecycleController(controllers.Controller):
    """Determines the status of this VM from readiness and stop requests."""

    name = "lifecycle"

    async def run(self) -> None:
        self._stop_requested_ms: int | None = None
        self._last_busy_ms = self.read_clock().monotonic_ms
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_signals)
            await self._run_steps()

    async def _watch_signals(self) -> None:
        with signalreceiver.receive_signals() as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    LOG.warning(
                        "settings are not read again; a restart is needed",
                        extra={"event": "reload_ignored"},
                    )
                    continue
                request = lifecycle.StopRequest(number.name)
                self.board.mailboxes["lifecycle"].post(request)

    async def _run_steps(self) -> None:
        mailbox = self.board.mailboxes["lifecycle"]
        while True:
            now_ms = self.read_clock().monotonic_ms
            self._handle_stop_requests(now_ms)
            if self._is_busy():
                self._last_busy_ms = now_ms
            before = self.board.lifecycle.value
            state = self._decide(before, now_ms)
            if state != before:
                self.write(self.board.lifecycle, state)
            # Only a stop request changes the status of a VM that is serving.
            is_serving = state.status is messages.VmStatus.SERVING
            await blackboard.wait_any(
                mailbox.is_not_empty(),
                timeout_ms=None if is_serving else STEP_INTERVAL_MS,
            )

    def _decide(
        self, before: lifecycle.Lifecycle, now_ms: int
    ) -> lifecycle.Lifecycle:
        if self._stop_requested_ms is None:
            return lifecycle.decide_start(
                before, self._is_configured(), self._is_caught_up()
            )
        limits = self.board.settings.limits
        return lifecycle.decide_stop(
            now_ms - self._stop_requested_ms,
            now_ms - self._last_busy_ms,
            limits.drain_ms,
            limits.entry_ttl_s,
        )

    def _handle_stop_requests(self, now_ms: int) -> None:
        for request in self.board.mailboxes["lifecycle"].take():
            if self._stop_requested_ms is None:
                self._stop_requested_ms = self._last_busy_ms = now_ms
            LOG.info(
                "graceful shutdown requested",
                extra={"event": "stop_requested", "origin": request.origin},
            )

    def _is_configured(self) -> bool:
        offset = self.board.configuration.value.configuration.offset
        return offset != configuration_state.NO_OFFSET

    def _is_caught_up(self) -> bool:
        """Return whether ownership is read to its end, or cannot be read.

        During an outage of the log, a VM that has the configuration of a peer
        still accepts calls, and routes them by the heartbeats of owners.
        """
        failed_reads = self.board.configuration.value.failed_reads
        return (
            self.board.ownership.value.caught_up
            or failed_reads >= OUTAGE_FAILED_READS
        )

    def _is_busy(self) -> bool:
        queues = self.board.dispatch.value.endpoints.values()
        return bool(
            self._has_unreleased_endpoints()
            or self.board.requests.value.open
            or any(queue.is_busy for queue in queues)
        )

    def _has_unreleased_endpoints(self) -> bool:
        """Return whether the release of an owned endpoint is not read back.

        Without a lease, as in an outage of the log, the other VMs claim the
        endpoints anyway. The shutdown then does not wait for the log.
        """
        ownership = self.board.ownership.value
        if self.read_clock().monotonic_ms >= ownership.held_until_ms:
            return False
        return any(
            owner.incarnation == self.board.incarnation
            for owner in ownership.owners.values()
        )
